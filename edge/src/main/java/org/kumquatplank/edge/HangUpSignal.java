package org.kumquatplank.edge;

import java.lang.reflect.Proxy;

/**
 * Handles SIGHUP, which says that the settings have changed and would otherwise end the process.
 *
 * <p>Uses reflection, since the compiler warns of every direct use of {@code sun.misc.Signal} and
 * warnings are errors in this build. Thread-safe.
 */
final class HangUpSignal {
  private Runnable action = () -> {};
  private boolean received;

  private HangUpSignal() {}

  /**
   * Registers the handler.
   *
   * <p>Must be the first call of the process: a SIGHUP before it ends the process.
   */
  static HangUpSignal register() {
    HangUpSignal hangUpSignal = new HangUpSignal();
    hangUpSignal.registerHandler();
    return hangUpSignal;
  }

  /** Sets the action to run on SIGHUP, and runs it at once if the signal has come before. */
  synchronized void setAction(Runnable work) {
    action = work;
    if (received) {
      work.run();
    }
  }

  private synchronized void onSignal() {
    received = true;
    action.run();
  }

  private void registerHandler() {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object signalHandler =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  onSignal();
                }
                return null;
              });
      Object sighup = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, sighup, signalHandler);
    } catch (ReflectiveOperationException e) {
      EdgeLog.problem("signals", e);
    }
  }
}
