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
import org.kumquatplank.core.config.ConfigOp;
import org.kumquatplank.core.config.ConfigReadResult;
import org.kumquatplank.core.config.ConfigReader;
import org.kumquatplank.core.config.ConfigReducer;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogException;
import org.kumquatplank.core.membership.ListedInstance;

/** Publishes configuration changes and reports where they are in force. Thread-safe. */
final class ConfigPublisher {
  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(2);

  /**
   * Reading a slow log takes up to 2.3 s and may need two retries. A late verdict is more useful to
   * an operator than an unknown outcome.
   */
  private static final Duration VERDICT_TIMEOUT = Duration.ofSeconds(10);

  private static final Duration POLL_INTERVAL = Duration.ofMillis(10);

  private final EventLog log;
  private final ControlThread controlThread;
  private final ControlState state;
  private final String self;

  ConfigPublisher(EventLog log, ControlThread controlThread, ControlState state, String self) {
    this.log = log;
    this.controlThread = controlThread;
    this.state = state;
    this.self = self;
  }

  /**
   * Appends a change to the log and waits until the log order decides whether it is accepted.
   *
   * @param base version that the change was made from
   * @return the version that contains the change
   * @throws RouterException if the change is invalid, conflicts with an earlier change, or its
   *     outcome is unknown
   */
  long publish(long base, List<ConfigOp> ops, String author) {
    Configuration current = state.snapshot().configuration();
    if (base != current.version()) {
      throw conflict(current.version());
    }
    validate(ConfigOp.apply(current, ops));
    String nonce = UUID.randomUUID().toString();
    String record = ConfigCodec.toJson(new ConfigEntry.Change(base, nonce, author, ops));
    try {
      log.append(ConfigFollower.STREAM, record, Instant.now().plus(APPEND_TIMEOUT));
    } catch (LogException e) {
      if (e.effect() == LogException.Effect.NONE) {
        throw RouterException.notRun(
            ErrorCode.LOG_UNAVAILABLE, "the log took nothing; the change is not published");
      }
    }
    ConfigReducer.ApplyResult result =
        awaitVerdict(nonce)
            .orElseThrow(
                () ->
                    RouterException.unknown(
                        ErrorCode.LOG_UNAVAILABLE,
                        "the log gave no answer; look at the configuration before publishing again"));
    if (result != ConfigReducer.ApplyResult.ACCEPTED) {
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

  private static void validate(Configuration changed) {
    ConfigReadResult result = ConfigReader.read(ConfigCodec.toDocument(changed));
    if (!result.findings().isEmpty()) {
      String message = String.join("; ", result.findings().stream().map(Object::toString).toList());
      throw RouterException.notRun(ErrorCode.CONFIG_INVALID, message);
    }
  }

  private Optional<ConfigReducer.ApplyResult> awaitVerdict(String nonce) {
    Instant deadline = Instant.now().plus(VERDICT_TIMEOUT);
    while (Instant.now().isBefore(deadline)) {
      Optional<ConfigReducer.ApplyResult> verdict =
          controlThread.call(() -> state.findVerdict(nonce));
      if (verdict.isPresent()) {
        return verdict;
      }
      pause();
    }
    return Optional.empty();
  }

  /** Waits until the version is in force on all listed instances, or until the deadline. */
  PublishStatus awaitInForce(long version, Instant deadline) {
    PublishStatus status = status(version);
    while (!status.in_force() && Instant.now().isBefore(deadline)) {
      pause();
      status = status(version);
    }
    return status;
  }

  /** Returns which listed instances have confirmed the version and which have not. */
  PublishStatus status(long version) {
    Map<String, ControlState.PeerDigest> peerDigests = controlThread.call(state::peerDigests);
    List<String> listed =
        state.snapshot().instances().entries().stream().map(ListedInstance::id).sorted().toList();
    List<String> missing =
        listed.stream().filter(id -> !hasVersion(id, version, peerDigests)).toList();
    List<String> confirmed = listed.stream().filter(id -> !missing.contains(id)).toList();
    return new PublishStatus(version, missing.isEmpty(), confirmed, missing);
  }

  private boolean hasVersion(
      String instance, long version, Map<String, ControlState.PeerDigest> peerDigests) {
    if (instance.equals(self)) {
      return state.snapshot().configuration().version() >= version;
    }
    ControlState.PeerDigest digest = peerDigests.get(instance);
    return digest != null && digest.configVersion() >= version;
  }

  private static void pause() {
    try {
      Thread.sleep(POLL_INTERVAL);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
