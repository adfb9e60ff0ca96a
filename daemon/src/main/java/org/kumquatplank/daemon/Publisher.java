package org.kumquatplank.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import org.kumquatplank.core.admin.PublishStatus;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigEntry;
import org.kumquatplank.core.config.ConfigReducer;
import org.kumquatplank.core.config.ConfigOp;
import org.kumquatplank.core.config.ConfigReader;
import org.kumquatplank.core.config.ConfigReading;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogException;
import org.kumquatplank.core.membership.ListedInstance;

/** Publishes changes of the configuration and says where they are in force. Thread-safe. */
final class Publisher {
  private static final Duration APPEND_WAIT = Duration.ofSeconds(2);

  /**
   * A read of a slow log takes up to 2.3 s and may have to be repeated twice; an operator is better
   * served by a late verdict than by none.
   */
  private static final Duration VERDICT_WAIT = Duration.ofSeconds(10);

  private static final Duration LOOK_PAUSE = Duration.ofMillis(10);

  private final EventLog log;
  private final Control control;
  private final ControlState state;
  private final String self;

  Publisher(EventLog log, Control control, ControlState state, String self) {
    this.log = log;
    this.control = control;
    this.state = state;
    this.self = self;
  }

  /**
   * Publishes a change and waits for its verdict in the order of the log.
   *
   * @return the version that the change led to
   * @throws RouterException when the change is faulty, came second, or its fate is unknown
   */
  long publish(long base, List<ConfigOp> ops, String author) {
    Configuration current = state.snapshot().configuration();
    if (base != current.version()) {
      throw conflict(current.version());
    }
    check(ConfigOp.apply(current, ops));
    String nonce = UUID.randomUUID().toString();
    String record = ConfigCodec.toJson(new ConfigEntry.Change(base, nonce, author, ops));
    try {
      log.append(ConfigFollower.STREAM, record, Instant.now().plus(APPEND_WAIT));
    } catch (LogException e) {
      if (e.effect() == LogException.Effect.NONE) {
        throw RouterException.notRun(
            ErrorCode.LOG_UNAVAILABLE, "the log took nothing; the change is not published");
      }
    }
    ConfigReducer.Verdict verdict =
        awaitVerdict(nonce)
            .orElseThrow(
                () ->
                    RouterException.unknown(
                        ErrorCode.LOG_UNAVAILABLE,
                        "the log gave no answer; look at the configuration before publishing again"));
    if (verdict != ConfigReducer.Verdict.ACCEPTED) {
      throw conflict(state.snapshot().configuration().version());
    }
    return base + 1;
  }

  private static RouterException conflict(long version) {
    return RouterException.of(
        ErrorCode.CONFIG_CONFLICT,
        ExecutionStatus.NOT_RUN,
        "another change came first; the configuration is at version " + version,
        null);
  }

  private static void check(Configuration changed) {
    ConfigReading reading = ConfigReader.read(ConfigCodec.toDocument(changed));
    if (!reading.findings().isEmpty()) {
      String all = String.join("; ", reading.findings().stream().map(Object::toString).toList());
      throw RouterException.notRun(ErrorCode.CONFIG_INVALID, all);
    }
  }

  private Optional<ConfigReducer.Verdict> awaitVerdict(String nonce) {
    Instant deadline = Instant.now().plus(VERDICT_WAIT);
    while (Instant.now().isBefore(deadline)) {
      Optional<ConfigReducer.Verdict> verdict = control.ask(() -> state.verdictOf(nonce));
      if (verdict.isPresent()) {
        return verdict;
      }
      pause();
    }
    return Optional.empty();
  }

  /** Waits until every listed instance has the version, or until the deadline. */
  PublishStatus awaitSpread(long version, Instant deadline) {
    PublishStatus status = spread(version);
    while (!status.in_force() && Instant.now().isBefore(deadline)) {
      pause();
      status = spread(version);
    }
    return status;
  }

  /** Returns where the version is in force now. */
  PublishStatus spread(long version) {
    Map<String, ControlState.PeerDigest> peers = control.ask(state::peers);
    List<String> listed =
        state.snapshot().instances().entries().stream().map(ListedInstance::id).sorted().toList();
    List<String> missing = listed.stream().filter(id -> !hasVersion(id, version, peers)).toList();
    List<String> confirmed = listed.stream().filter(id -> !missing.contains(id)).toList();
    return new PublishStatus(version, missing.isEmpty(), confirmed, missing);
  }

  private boolean hasVersion(
      String instance, long version, Map<String, ControlState.PeerDigest> peers) {
    if (instance.equals(self)) {
      return state.snapshot().configuration().version() >= version;
    }
    ControlState.PeerDigest digest = peers.get(instance);
    return digest != null && digest.configVersion() >= version;
  }

  private static void pause() {
    try {
      Thread.sleep(LOOK_PAUSE);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
