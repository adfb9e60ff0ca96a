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
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.time.Deadlines;

/** Publishes configuration changes and reports where they are in force. Thread-safe. */
final class ConfigPublisher {
  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(2);

  /**
   * Reading a slow log takes up to 2.3 s and may need two retries. A late verdict is more useful to
   * an operator than an unknown outcome.
   */
  private static final Duration VERDICT_TIMEOUT = Duration.ofSeconds(10);

  private static final Duration LONG_POLL_TIMEOUT = Duration.ofMillis(800);
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
    ControlSnapshot before = state.snapshot();
    // Before the first read, the offset is 0, and the verdict is computed from the whole log.
    if (!before.configComplete() && before.configNextOffset() > 0) {
      throw RouterException.notRun(
          ErrorCode.NOT_READY, "this instance has not read the whole configuration yet");
    }
    Configuration current = before.configuration();
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
    Instant deadline = Instant.now().plus(VERDICT_TIMEOUT);
    ConfigReducer reducer = ConfigReducer.create();
    reducer.adopt(current, before.configNextOffset());
    switch (awaitVerdict(reducer, nonce, deadline)) {
      case ACCEPTED -> awaitOwnVersion(base + 1, deadline);
      case CONFLICT -> throw conflict(reducer.current().version());
      case HELD, NO_EFFECT ->
          throw RouterException.unknown(
              ErrorCode.LOG_UNAVAILABLE,
              "the log gave no answer; look at the configuration before publishing again");
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

  /**
   * Reads the log until the change with the nonce is found, and returns its result, or {@code
   * NO_EFFECT} if it is not found in time.
   *
   * <p>The reducer is the publisher's own: the control state may adopt a peer's configuration that
   * includes the change, and then never applies the change itself.
   */
  private ConfigReducer.ApplyResult awaitVerdict(
      ConfigReducer reducer, String nonce, Instant deadline) {
    long from = reducer.nextOffset();
    while (Instant.now().isBefore(deadline)) {
      try {
        Instant waitUntil = Deadlines.earlier(Instant.now().plus(LONG_POLL_TIMEOUT), deadline);
        LogPage page = log.read(ConfigFollower.STREAM, from, waitUntil);
        reducer.markMissingBefore(page.firstRetained());
        for (LogRecord record : page.records()) {
          Optional<ConfigEntry> entry = ConfigCodec.fromJson(record.text());
          if (entry.isEmpty()) {
            reducer.skip(record.offset());
          } else {
            ConfigReducer.ApplyResult result = reducer.apply(record.offset(), entry.get());
            if (entry.get() instanceof ConfigEntry.Change c && c.nonce().equals(nonce)) {
              return result;
            }
          }
        }
        from = page.next();
      } catch (LogException e) {
        pause();
      }
    }
    return ConfigReducer.ApplyResult.NO_EFFECT;
  }

  private void awaitOwnVersion(long version, Instant deadline) {
    while (state.snapshot().configuration().version() < version
        && Instant.now().isBefore(deadline)) {
      pause();
    }
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
