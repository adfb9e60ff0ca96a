package org.kumquatplank.testkit;

import java.time.Clock;
import java.util.Set;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.membership.ListedInstance.Role;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.platform.InstanceListClient;

/** Announces a backend server to the platform's instance list periodically. Thread-safe. */
final class Announcer {
  private static final long ANNOUNCE_INTERVAL_MILLIS = 500;

  private final InstanceListClient directory;
  private final ListedInstance instance;
  private volatile Set<String> versions;
  private volatile boolean leaving;
  private volatile boolean stopped;

  private Announcer(InstanceListClient directory, ListedInstance instance) {
    this.directory = directory;
    this.instance = instance;
    this.versions = instance.versions();
  }

  static Announcer start(
      Options options, Role role, String service, String host, int port, Set<String> versions) {
    ListedInstance instance =
        new ListedInstance(
            options.getString("id", role.name() + "-" + port),
            role,
            service,
            host,
            port,
            0,
            options.getString("domain", "default"),
            options.getString("region", "default"),
            false,
            versions);
    InstanceListClient directory =
        InstanceListClient.create(
            PooledHttpClient.create(),
            options.getString("platform", "127.0.0.1:7000"),
            Clock.systemUTC());
    Announcer announcer = new Announcer(directory, instance);
    Thread.ofVirtual().start(announcer::run);
    return announcer;
  }

  void setVersions(Set<String> served) {
    versions = Set.copyOf(served);
  }

  void announceLeaving() {
    leaving = true;
  }

  void stop() {
    stopped = true;
  }

  private void run() {
    while (!stopped) {
      directory.announce(
          new ListedInstance(
              instance.id(),
              instance.role(),
              instance.service(),
              instance.host(),
              instance.port(),
              0,
              instance.failureDomain(),
              instance.region(),
              leaving,
              versions));
      Processes.sleep(ANNOUNCE_INTERVAL_MILLIS);
    }
  }
}
