package org.kumquatplank.edge;

import ch.qos.logback.classic.AsyncAppender;
import ch.qos.logback.classic.Level;
import ch.qos.logback.classic.Logger;
import ch.qos.logback.classic.LoggerContext;
import ch.qos.logback.classic.encoder.JsonEncoder;
import ch.qos.logback.classic.spi.Configurator;
import ch.qos.logback.classic.spi.ILoggingEvent;
import ch.qos.logback.core.ConsoleAppender;
import ch.qos.logback.core.spi.ContextAwareBase;

/**
 * Configures Logback to write JSON lines to standard output through a queue that drops when full.
 */
public final class LoggingSetup extends ContextAwareBase implements Configurator {
  private static final int QUEUED_LINES = 1_024;

  @Override
  public ExecutionStatus configure(LoggerContext context) {
    JsonEncoder encoder = new JsonEncoder();
    encoder.setContext(context);
    encoder.setWithSequenceNumber(false);
    encoder.setWithNanoseconds(false);
    encoder.setWithThreadName(false);
    encoder.setWithContext(false);
    encoder.setWithLoggerName(false);
    encoder.setWithMDC(false);
    encoder.setWithMarkers(false);
    encoder.setWithArguments(false);
    encoder.start();
    ConsoleAppender<ILoggingEvent> console = new ConsoleAppender<>();
    console.setContext(context);
    console.setEncoder(encoder);
    console.start();
    AsyncAppender async = new AsyncAppender();
    async.setContext(context);
    async.setQueueSize(QUEUED_LINES);
    async.setDiscardingThreshold(0);
    async.setNeverBlock(true);
    async.addAppender(console);
    async.start();
    Logger root = context.getLogger(org.slf4j.Logger.ROOT_LOGGER_NAME);
    root.setLevel(Level.INFO);
    root.addAppender(async);
    return ExecutionStatus.DO_NOT_INVOKE_NEXT_IF_ANY;
  }
}
