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
import org.kumquatplank.http.PooledHttpClient.Reuse;
import org.kumquatplank.http.PooledHttpClient.WholeReply;
import org.kumquatplank.http.Request;
import org.kumquatplank.platform.PlatformDirectory;

/** Keeps the instance list current, announces this instance, and asks engines for their size. */
final class Directory {
  private static final Gson GSON = new Gson();
  private static final Duration LOAD_WAIT = Duration.ofMillis(800);

  private final PlatformDirectory platform;
  private final PooledHttpClient client;
  private final Control control;
  private final ControlState state;
  private final Settings settings;
  private final ExecutorService executor;
  private final BooleanSupplier draining;

  Directory(
      PlatformDirectory platform,
      PooledHttpClient client,
      Control control,
      ControlState state,
      Settings settings,
      ExecutorService executor,
      BooleanSupplier draining) {
    this.platform = platform;
    this.client = client;
    this.control = control;
    this.state = state;
    this.settings = settings;
    this.executor = executor;
    this.draining = draining;
  }

  /** An engine's report. */
  private record LoadReport(int slots) {}

  /** Announces this instance and reads the list. */
  void refresh() {
    announce();
    Optional<InstanceList> list = platform.read();
    list.ifPresent(l -> control.run(() -> state.setList(l)));
  }

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

  /** Asks every engine how many requests it runs at once. */
  void askEngines() {
    for (ListedInstance instance : state.snapshot().instances().instances()) {
      if (instance.role() == Role.ENGINE) {
        executor.execute(() -> askEngine(instance));
      }
    }
  }

  private void askEngine(ListedInstance engine) {
    try {
      Instant deadline = Instant.now().plus(LOAD_WAIT);
      WholeReply reply =
          client.exchange(engine.endpoint(), Request.get("/v1/load"), deadline, Reuse.REUSE);
      int slots = GSON.fromJson(reply.body(), LoadReport.class).slots();
      if (slots > 0) {
        control.run(() -> state.router().setSlots(engine.id(), slots));
      }
    } catch (CallException | JsonParseException | NullPointerException e) {
      client.discardIdle(engine.endpoint());
    }
  }
}
