package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicBoolean;
import net.jqwik.api.Example;
import org.kumquatplank.core.bills.PendingBills;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;
import org.kumquatplank.link.proto.Digest;

class PeerServerTest {
  private final AtomicBoolean readHasEnded = new AtomicBoolean(true);
  private final Freshness freshness = Freshness.create(this::nanoTime);
  private final ControlState state = new ControlState("a", "region", freshness, () -> 0);

  /** Returns the time; a read of the log ends just before, if the test asked for it. */
  private long nanoTime() {
    if (readHasEnded.compareAndSet(false, true)) {
      applyAndConfirm(1, 100);
    }
    return 100;
  }

  private void applyAndConfirm(long offset, long startedAt) {
    LogRecord record = new LogRecord(offset, InstanceFixture.change(offset));
    state.applyPage(new LogPage(0, offset + 1, offset + 1, java.util.List.of(record)));
    freshness.confirmByLog(startedAt);
  }

  // The digest paired the offset before a read with the confirmation after it: a peer that lacked
  // the same change counted as up to date.
  @Example
  void testDigestNamesAnOffsetThatItsConfirmationCovers() {
    try (ControlThread controlThread = new ControlThread()) {
      PeerServer server =
          new PeerServer(
              "a",
              controlThread,
              state,
              freshness,
              null,
              PendingBills.create(),
              null,
              null,
              () -> false);
      applyAndConfirm(0, 0);
      readHasEnded.set(false);
      Digest digest = server.digest();
      assertThat(digest.getProofAgeMillis()).isEqualTo(0);
      assertThat(digest.getConfigNextOffset()).isEqualTo(2);
    }
  }
}
