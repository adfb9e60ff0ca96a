package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.catchThrowableOfType;

import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import net.jqwik.api.Example;
import net.jqwik.api.lifecycle.AfterExample;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigEntry;
import org.kumquatplank.core.config.ConfigOp;
import org.kumquatplank.core.config.ConfigReducer;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.config.ModelVersion.Stage;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.ExecutionStatus;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.log.EventLog;
import org.kumquatplank.core.log.LogException;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;

class ConfigPublisherTest {
  private static final List<ConfigOp> OPS =
      List.of(new ConfigOp.Put(new ModelVersion("small@1", 100_000, 500_000, Stage.LIVE)));

  private final InMemoryLog log = new InMemoryLog();
  private final ControlThread controlThread = new ControlThread();
  private final ControlState state =
      new ControlState("self", "r", Freshness.create(System::nanoTime), MicroClock.system());
  private final ConfigPublisher publisher = new ConfigPublisher(log, controlThread, state, "self");

  ConfigPublisherTest() {
    state.applyPage(new LogPage(0, 0, 0, List.of()));
  }

  @AfterExample
  void stopControlThread() {
    controlThread.close();
  }

  /** In-memory log of one stream that runs a hook after each append. */
  private static final class InMemoryLog implements EventLog {
    private final List<String> records = new ArrayList<>();
    private Runnable afterAppend = () -> {};
    private int firstRetained;

    @Override
    public long append(String stream, String record, Instant deadline) {
      records.add(record);
      afterAppend.run();
      return records.size() - 1L;
    }

    @Override
    public LogPage read(String stream, long from, Instant waitUntil) {
      List<LogRecord> page =
          IntStream.range(Math.max(firstRetained, (int) from), records.size())
              .mapToObj(i -> new LogRecord(i, records.get(i)))
              .toList();
      return new LogPage(firstRetained, records.size(), records.size(), page);
    }
  }

  /** Adopts the snapshot of a peer that has read the log to its end. */
  private void adoptFromPeer() {
    ConfigReducer peer = ConfigReducer.create();
    for (LogRecord record : log.read("config", 0, Instant.MIN).records()) {
      peer.apply(record.offset(), ConfigCodec.fromJson(record.text()).orElseThrow());
    }
    var snapshot = new ConfigEntry.Snapshot(peer.current(), peer.nextOffset());
    controlThread.execute(() -> state.adoptSnapshot(snapshot));
  }

  private RouterException publishFailure() {
    return catchThrowableOfType(RouterException.class, () -> publisher.publish(0, OPS, "operator"));
  }

  @Example
  void testChangeThatArrivesByThePeerSnapshotIsReportedAsAccepted() {
    log.afterAppend = this::adoptFromPeer;
    assertThat(publisher.publish(0, OPS, "operator")).isEqualTo(1);
    assertThat(state.snapshot().configuration().version()).isEqualTo(1);
  }

  @Example
  void testChangeWithoutAppendResponseThatArrivesByThePeerSnapshotIsReportedAsAccepted() {
    log.afterAppend =
        () -> {
          adoptFromPeer();
          throw LogException.unknownEffect("append unanswered", null);
        };
    assertThat(publisher.publish(0, OPS, "operator")).isEqualTo(1);
  }

  @Example
  void testLaterOfTwoChangesThatArriveByThePeerSnapshotIsReportedAsConflict() {
    log.records.add(ConfigCodec.toJson(new ConfigEntry.Change(0, "other", "another", OPS)));
    log.afterAppend = this::adoptFromPeer;
    RouterException failure = publishFailure();
    assertThat(failure.code()).isEqualTo(ErrorCode.CONFIG_CONFLICT);
    assertThat(failure.executionStatus()).isEqualTo(ExecutionStatus.NOT_RUN);
    assertThat(failure).hasMessageContaining("the configuration is at version 1");
  }

  @Example
  void testNothingIsPublishedWhileTheConfigurationIsIncomplete() {
    String change = ConfigCodec.toJson(new ConfigEntry.Change(3, "old", "another", OPS));
    state.applyPage(new LogPage(5, 6, 6, List.of(new LogRecord(5, change))));
    RouterException failure = publishFailure();
    assertThat(failure.code()).isEqualTo(ErrorCode.NOT_READY);
    assertThat(failure.executionStatus()).isEqualTo(ExecutionStatus.NOT_RUN);
    assertThat(log.records).isEmpty();
  }

  // The operator was told that another change came first, though this one may take effect.
  @Example
  void testChangeBehindMissingRecordsIsReportedAsUnknown() {
    log.records.addAll(List.of("gone", "gone", "gone"));
    log.firstRetained = 3;
    RouterException failure = publishFailure();
    assertThat(failure.code()).isEqualTo(ErrorCode.LOG_UNAVAILABLE);
    assertThat(failure.executionStatus()).isEqualTo(ExecutionStatus.UNKNOWN);
  }

  @Example
  void testChangeBehindARecordThatIsNoEntryIsReportedAsAccepted() {
    log.records.add("no entry");
    log.afterAppend = () -> state.applyPage(log.read("config", 0, Instant.MIN));
    assertThat(publisher.publish(0, OPS, "operator")).isEqualTo(1);
  }
}
