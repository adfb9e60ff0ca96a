package org.kumquatplank.daemon;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.kumquatplank.core.claims.Fingerprint;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogException;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;
import org.kumquatplank.core.quality.QualityTracker.Pair;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Appends demotions of model versions to the log and applies those of other instances.
 *
 * <p>A demotion applies to the definition that the version had at that time; a version whose
 * definition changed is evaluated again. Not thread-safe, except for {@link #record}.
 */
final class DemotionLog {
  private static final Logger LOG = LoggerFactory.getLogger(DemotionLog.class);
  private static final Gson GSON = new Gson();
  private static final String STREAM = "demotions";
  private static final Duration APPEND_TIMEOUT = Duration.ofSeconds(5);

  private final EventLog log;
  private final ControlThread controlThread;
  private final ControlState state;

  /** Demotions that were decided under a newer configuration than this instance has. */
  private List<Demotion> waiting = List.of();

  private long nextOffset;

  DemotionLog(EventLog log, ControlThread controlThread, ControlState state) {
    this.log = log;
    this.controlThread = controlThread;
    this.state = state;
  }

  /**
   * One record of the stream.
   *
   * @param workClass name of the class
   * @param version name of the version
   * @param definition fingerprint of the version's definition at the time of the demotion
   * @param configVersion version of the configuration at that time; 0 in older records
   */
  private record Demotion(String workClass, String version, String definition, long configVersion) {
    boolean isWhole() {
      return workClass != null && version != null && definition != null;
    }
  }

  /**
   * Appends a demotion to the log.
   *
   * <p>The peers have received the same ratings, so a failed append does not undo the demotion.
   */
  void record(Pair pair) {
    Configuration configuration = state.snapshot().configuration();
    Optional<ModelVersion> version = configuration.findVersion(pair.version());
    if (version.isEmpty()) {
      return;
    }
    Demotion demotion =
        new Demotion(
            pair.workClass(),
            pair.version(),
            fingerprintOf(version.get()),
            configuration.version());
    try {
      log.append(STREAM, GSON.toJson(demotion), Instant.now().plus(APPEND_TIMEOUT));
    } catch (LogException e) {
      LOG.warn(
          "cannot append the demotion of version {} to the log: {}",
          pair.version(),
          e.getMessage());
    }
  }

  /** Returns the fingerprint that is stored; it depends on the text form of the record type. */
  private static String fingerprintOf(ModelVersion version) {
    return Fingerprint.sha256(version.toString());
  }

  /** Applies the demotions that were appended since the last call. */
  void applyNew() {
    ControlSnapshot snapshot = state.snapshot();
    if (!snapshot.configComplete() || snapshot.configuration().version() == 0) {
      return;
    }
    List<Demotion> undecided = new ArrayList<>(waiting);
    try {
      LogPage page = log.read(STREAM, nextOffset, Instant.MIN);
      page.records().forEach(record -> parse(record).ifPresent(undecided::add));
      nextOffset = Math.max(nextOffset, page.next());
    } catch (LogException e) {
      LOG.debug("cannot read demotions: {}", e.getMessage());
    }
    waiting = controlThread.call(() -> apply(undecided));
  }

  private static Optional<Demotion> parse(LogRecord record) {
    try {
      Demotion demotion = GSON.fromJson(record.text(), Demotion.class);
      if (demotion.isWhole()) {
        return Optional.of(demotion);
      }
    } catch (JsonParseException | NullPointerException e) {
      // Logged below, like a record without a field.
    }
    LOG.warn("malformed record in stream {} at offset {}", STREAM, record.offset());
    return Optional.empty();
  }

  /**
   * Applies the demotions of current definitions; must run on the control thread.
   *
   * @return the demotions that were decided under a newer configuration
   */
  private List<Demotion> apply(List<Demotion> demotions) {
    Configuration configuration = state.snapshot().configuration();
    for (Demotion demotion : demotions) {
      boolean isCurrentDefinition =
          configuration
              .findVersion(demotion.version())
              .filter(v -> fingerprintOf(v).equals(demotion.definition()))
              .isPresent();
      if (demotion.configVersion() <= configuration.version() && isCurrentDefinition) {
        state.quality().demote(demotion.workClass(), demotion.version());
      }
    }
    return demotions.stream().filter(d -> d.configVersion() > configuration.version()).toList();
  }
}
