package org.kumquatplank.edge.soak;

import java.util.List;
import java.util.Map;
import java.util.Random;
import org.kumquatplank.testkit.fleet.FakeStore;

/**
 * Restores the store from copies; the operator and the backend servers write again what is lost.
 */
final class StoreDrill {
  private static final int MAX_AWAY_MILLIS = 400;
  private static final int MAX_REWRITE_MILLIS = 800;

  private final FakeStore store;
  private final Random random;
  private final Runnable rewriteServers;
  private FakeStore.Copy copy;

  private StoreDrill(FakeStore store, Random random, Runnable rewriteServers) {
    this.store = store;
    this.random = random;
    this.rewriteServers = rewriteServers;
    this.copy = store.copy();
  }

  /**
   * Returns drills of a store, which names its era from now on, and takes the first copy.
   *
   * @param rewriteServers lists the living backend servers again
   */
  static StoreDrill create(FakeStore store, Random random, Runnable rewriteServers) {
    store.setEra(1);
    return new StoreDrill(store, random, rewriteServers);
  }

  /** Takes the copy for the next restores. */
  void takeCopy() {
    copy = store.copy();
  }

  /** Lets the store be away for a moment and restores it; returns what is lost. */
  Map<String, List<byte[]>> restore() throws InterruptedException {
    store.setFault(FakeStore.Fault.DOWN);
    Thread.sleep(random.nextInt(MAX_AWAY_MILLIS));
    Map<String, List<byte[]>> lost = store.restore(copy);
    store.setFault(FakeStore.Fault.NONE);
    return lost;
  }

  /** Restores the store; its writers write again what is lost, within a moment. */
  void restoreAndRewrite() throws InterruptedException {
    Map<String, List<byte[]>> lost = restore();
    Thread.sleep(random.nextInt(MAX_REWRITE_MILLIS));
    store.rewrite("op", lost);
    rewriteServers.run();
  }

  /** Lists the living backend servers again, as they do after a restore. */
  void rewriteServers() {
    rewriteServers.run();
  }
}
