package org.kumquatplank.edge;

import io.netty.channel.EventLoop;
import io.netty.channel.MultiThreadIoEventLoopGroup;
import io.netty.channel.nio.NioIoHandler;
import io.netty.util.concurrent.DefaultThreadFactory;
import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import org.kumquatplank.platform.wire.EdgeSettings;
import org.kumquatplank.platform.wire.SettingsDecoder;
import org.kumquatplank.platform.wire.WireException;

/** Starts an entry instance on the users' platform. */
public final class EdgeMain {
  private static final String SETTINGS_VARIABLE = "KUMQUATPLANK_NODE_FILE";
  private static final int EXIT_BAD_SETTINGS = 2;
  private static final int EXIT_START_FAILED = 3;

  private EdgeMain() {}

  /**
   * Runs until a signal stops the process; exits with status 2 if the settings can't be read, and
   * with 3 if the process can't listen.
   */
  public static void main(String[] arguments) {
    HangUpSignal hangUpSignal = HangUpSignal.register();
    EdgeSettings settings;
    EdgeOptions options;
    try {
      settings = readSettings();
      options = EdgeOptions.of(System.getenv());
    } catch (IOException | WireException e) {
      System.err.println("kumquatplank: " + e.getMessage());
      System.exit(EXIT_BAD_SETTINGS);
      return;
    }
    long startedMillis = System.currentTimeMillis();
    EventLoop trafficLoop = newEventLoop("traffic");
    EventLoop controlLoop = newEventLoop("control");
    DataPlane dataPlane = new DataPlane(settings, options, trafficLoop);
    ControlPlane control = new ControlPlane(settings, startedMillis, controlLoop, dataPlane);
    try {
      dataPlane.start(control::onReport);
      control.start();
    } catch (Exception e) {
      // Such as an address in use, which Netty throws undeclared. Other threads would keep the
      // process alive without a listener.
      System.err.println("kumquatplank: can't start: " + e);
      System.exit(EXIT_START_FAILED);
      return;
    }
    hangUpSignal.setAction(() -> controlLoop.execute(() -> reload(control)));
    Runtime.getRuntime()
        .addShutdownHook(
            new Thread(
                () -> {
                  EdgeLog.event("stopping").log();
                  control.announceDrain();
                  dataPlane.drain();
                },
                "leave"));
    EdgeLog.event("started")
        .addKeyValue("instance", settings.instance())
        .addKeyValue("zone", settings.zone())
        .addKeyValue("started_millis", startedMillis)
        .log();
  }

  private static EventLoop newEventLoop(String name) {
    return (EventLoop)
        new MultiThreadIoEventLoopGroup(
                1, new DefaultThreadFactory(name), NioIoHandler.newFactory())
            .next();
  }

  private static void reload(ControlPlane control) {
    try {
      control.setSettings(readSettings());
    } catch (IOException | WireException e) {
      EdgeLog.problem("reload", e);
    }
  }

  private static EdgeSettings readSettings() throws IOException {
    String path = System.getenv(SETTINGS_VARIABLE);
    if (path == null) {
      throw new WireException(SETTINGS_VARIABLE, "not set");
    }
    return SettingsDecoder.decode(Files.readAllBytes(Path.of(path)));
  }
}
