package org.kumquatplank.edge;

import java.lang.reflect.Proxy;

/**
 * Signals that the runtime would otherwise take for an order to stop.
 *
 * <p>By reflection: the compiler warns of every use of the runtime's signal class, and warnings are
 * errors here.
 */
final class Signals {
  private Signals() {}

  /** Runs something when the settings have changed. */
  static void onHangUp(Runnable work) {
    try {
      Class<?> signal = Class.forName("sun.misc.Signal");
      Class<?> handler = Class.forName("sun.misc.SignalHandler");
      Object runs =
          Proxy.newProxyInstance(
              handler.getClassLoader(),
              new Class<?>[] {handler},
              (proxy, method, arguments) -> {
                if (method.getName().equals("handle")) {
                  work.run();
                }
                return null;
              });
      Object hangUp = signal.getConstructor(String.class).newInstance("HUP");
      signal.getMethod("handle", signal, handler).invoke(null, hangUp, runs);
    } catch (ReflectiveOperationException e) {
      EdgeLog.problem("signals", e);
    }
  }
}
