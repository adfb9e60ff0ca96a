package org.kumquatplank.daemon;

import java.util.EnumMap;
import java.util.Map;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicReference;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.kumquatplank.core.config.Finding;

/**
 * Entry point of the daemon {@code kumquatplankd}.
 *
 * <p>Exit status: 0 after a complete drain, 1 if requests or records were left unfinished, 2 for
 * invalid settings or flags.
 */
public final class Main {
  private static final int EXIT_INCOMPLETE_DRAIN = 1;
  private static final int EXIT_INVALID_SETTINGS = 2;

  private Main() {}

  /** Runs the daemon until a drain is requested or the process receives a termination signal. */
  public static void main(String[] args) {
    SettingsReader.Result result = SettingsReader.read(parseFlags(args), System.getenv());
    for (Finding finding : result.findings()) {
      System.err.println(finding);
    }
    if (result.settings().isEmpty()) {
      System.exit(EXIT_INVALID_SETTINGS);
    }
    Settings settings = result.settings().orElseThrow();
    LogSetup.configure(settings.jsonLogs());
    CountDownLatch stop = new CountDownLatch(1);
    AtomicReference<Boolean> drainComplete = new AtomicReference<>(true);
    CountDownLatch closed = new CountDownLatch(1);
    Node node = Node.start(settings, stop::countDown);
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  stop.countDown();
                  awaitQuietly(closed);
                  // A shutdown hook can only set the exit status by halting.
                  Runtime.getRuntime().halt(drainComplete.get() ? 0 : EXIT_INCOMPLETE_DRAIN);
                }));
    awaitQuietly(stop);
    drainComplete.set(node.drainAndClose());
    closed.countDown();
    System.exit(drainComplete.get() ? 0 : EXIT_INCOMPLETE_DRAIN);
  }

  private static void awaitQuietly(CountDownLatch latch) {
    try {
      latch.await();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Map<Setting, String> parseFlags(String[] args) {
    ArgumentParser parser =
        ArgumentParsers.newFor("kumquatplankd")
            .build()
            .defaultHelp(false)
            .version("kumquatplankd 0.1.0")
            .description("Model-aware request router: runs one instance.")
            .epilog("Example: kumquatplankd --listen 127.0.0.1:7100 --platform 127.0.0.1:7000");
    parser
        .addArgument("--version")
        .action(net.sourceforge.argparse4j.impl.Arguments.version())
        .help("print the version and exit");
    for (Setting setting : Setting.values()) {
      String defaultText =
          setting.defaultValue().isEmpty() ? "" : "; default " + setting.defaultValue();
      parser
          .addArgument("--" + setting.flag())
          .metavar("VALUE")
          .help(
              setting.description()
                  + " ("
                  + setting.format()
                  + defaultText
                  + "; environment variable "
                  + setting.variable()
                  + ")");
    }
    try {
      return toFlags(parser.parseArgs(args));
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      boolean helpRequested = e instanceof net.sourceforge.argparse4j.helper.HelpScreenException;
      System.exit(helpRequested ? 0 : EXIT_INVALID_SETTINGS);
      throw new IllegalStateException(e);
    }
  }

  private static Map<Setting, String> toFlags(Namespace namespace) {
    Map<Setting, String> flags = new EnumMap<>(Setting.class);
    for (Setting setting : Setting.values()) {
      String value = namespace.getString(setting.flag().replace('-', '_'));
      if (value != null) {
        flags.put(setting, value);
      }
    }
    return flags;
  }
}
