package org.kumquatplank.proofs;

import java.io.IOException;
import java.util.concurrent.TimeUnit;

/**
 * A process of the cluster. The signals {@code STOP} and {@code CONT} freeze and resume it; {@link
 * #kill} ends it at once, {@link #terminate} lets it shut down and returns its exit code.
 */
record ManagedProcess(String name, String endpoint, String admin, Process process) {
  void kill() {
    process.destroyForcibly();
    await(process);
  }

  void freeze() {
    signal("STOP");
  }

  void resume() {
    signal("CONT");
  }

  int terminate() {
    process.destroy();
    return await(process);
  }

  private static int await(Process process) {
    try {
      return process.waitFor(60, TimeUnit.SECONDS) ? process.exitValue() : -1;
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  private void signal(String name) {
    try {
      await(new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start());
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }
}
