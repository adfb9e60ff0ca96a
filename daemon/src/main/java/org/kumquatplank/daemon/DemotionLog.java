package org.kumquatplank.daemon;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import java.time.Duration;
import java.time.Instant;
import java.util.Optional;
import org.kumquatplank.core.claims.Fingerprint;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogException;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;
import org.kumquatplank.core.quality.QualityTracker.Pair;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Records demotions in the log, and follows those of other instances.
 *
 * <p>A demotion holds for the version as operators defined it then; a changed definition is judged
 * anew. Confined to one thread, but for {@link #record}.
 */
final class DemotionLog {
  private static final Logger LOG = LoggerFactory.getLogger(DemotionLog.class);
  private static final Gson GSON = new Gson();
  private static final String STREAM = "demotions";
  private static final Duration APPEND_WAIT = Duration.ofSeconds(5);

  private final EventLog log;
  private final Control control;
  private final ControlState state;
  private long nextOffset;

  DemotionLog(EventLog log, Control control, ControlState state) {
    this.log = log;
    this.control = control;
    this.state = state;
  }

  /** One record of the stream. */
  private record Demotion(String workClass, String version, String definition) {}

  /** Records a demotion; peers hold the evidence too, so a failed append loses nothing now. */
  void record(Pair pair) {
    Optional<ModelVersion> version = state.snapshot().configuration().findVersion(pair.version());
    if (version.isEmpty()) {
      return;
    }
    Demotion demotion = new Demotion(pair.workClass(), pair.version(), definitionOf(version.get()));
    try {
      log.append(STREAM, GSON.toJson(demotion), Instant.now().plus(APPEND_WAIT));
    } catch (LogException e) {
      LOG.warn("the demotion of {} is not in the log: {}", pair.version(), e.getMessage());
    }
  }

  private static String definitionOf(ModelVersion version) {
    return Fingerprint.sha256(version.toString());
  }

  /** Takes in what other instances recorded. */
  void follow() {
    if (!state.snapshot().configComplete()) {
      return;
    }
    try {
      LogPage page = log.read(STREAM, nextOffset, Instant.MIN);
      page.records().forEach(this::apply);
      nextOffset = Math.max(nextOffset, page.next());
    } catch (LogException e) {
      LOG.debug("demotions can't be read: {}", e.getMessage());
    }
  }

  private void apply(LogRecord record) {
    try {
      Demotion demotion = GSON.fromJson(record.text(), Demotion.class);
      boolean current =
          state
              .snapshot()
              .configuration()
              .findVersion(demotion.version())
              .filter(v -> definitionOf(v).equals(demotion.definition()))
              .isPresent();
      if (current) {
        control.run(() -> state.quality().demote(demotion.workClass(), demotion.version()));
      }
    } catch (JsonParseException | NullPointerException e) {
      LOG.warn("a record of the stream {} is malformed: offset {}", STREAM, record.offset());
    }
  }
}
