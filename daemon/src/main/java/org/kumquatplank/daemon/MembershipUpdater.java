package org.kumquatplank.daemon;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ExecutorService;
import java.util.function.BooleanSupplier;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.membership.ListedInstance.Role;
import org.kumquatplank.http.CallException;
import org.kumquatplank.http.PooledHttpClient;
import org.kumquatplank.http.PooledHttpClient.FullResponse;
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.Request;
import org.kumquatplank.platform.InstanceListClient;

/**
 * Announces this instance to the platform, refreshes the instance list and polls engine capacity.
 *
 * <p>Thread-safe.
 */
final class MembershipUpdater {
  private static final Gson GSON = new Gson();
  private static final Duration LOAD_TIMEOUT = Duration.ofMillis(800);

  private final InstanceListClient platform;
  private final PooledHttpClient client;
  private final ControlThread controlThread;
  private final ControlState state;
  private final Settings settings;
  private final ExecutorService executor;
  private final BooleanSupplier draining;

  MembershipUpdater(
      InstanceListClient platform,
      PooledHttpClient client,
      ControlThread controlThread,
      ControlState state,
      Settings settings,
      ExecutorService executor,
      BooleanSupplier draining) {
    this.platform = platform;
    this.client = client;
    this.controlThread = controlThread;
    this.state = state;
    this.settings = settings;
    this.executor = executor;
    this.draining = draining;
  }

  /**
   * Load report of an engine.
   *
   * @param slots number of requests that the engine runs concurrently
   */
  private record LoadReport(int slots) {}

  /** Announces this instance and reads the instance list from the platform. */
  void refresh() {
    announce();
    Optional<InstanceList> list = platform.read();
    list.ifPresent(l -> controlThread.execute(() -> state.setInstances(l)));
  }

  /** Announces this instance, and whether it is draining, to the platform. */
  void announce() {
    platform.announce(
        new ListedInstance(
            settings.instance(),
            Role.ENTRY,
            "",
            settings.listen().host(),
            settings.listen().port(),
            settings.peerListen().port(),
            settings.failureDomain(),
            settings.region(),
            draining.getAsBoolean(),
            Set.of()));
  }

  /** Queries every engine for the number of requests it runs concurrently. */
  void pollEngineLoads() {
    for (ListedInstance instance : state.snapshot().instances().instances()) {
      if (instance.role() == Role.ENGINE) {
        executor.execute(() -> pollEngineLoad(instance));
      }
    }
  }

  private void pollEngineLoad(ListedInstance engine) {
    try {
      Instant deadline = Instant.now().plus(LOAD_TIMEOUT);
      FullResponse reply =
          client.exchange(engine.endpoint(), Request.get("/v1/load"), deadline, Reuse.REUSE);
      int slots = GSON.fromJson(reply.body(), LoadReport.class).slots();
      if (slots > 0) {
        controlThread.execute(() -> state.router().setSlots(engine.id(), slots));
      }
    } catch (CallException | JsonParseException | NullPointerException e) {
      client.discardIdle(engine.endpoint());
    }
  }
}
