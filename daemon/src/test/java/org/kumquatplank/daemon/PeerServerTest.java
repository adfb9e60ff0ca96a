package org.kumquatplank.daemon;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.concurrent.atomic.AtomicBoolean;
import net.jqwik.api.Example;
import org.kumquatplank.core.bills.Bill;
import org.kumquatplank.core.bills.PendingBills;
import org.kumquatplank.core.log.LogPage;
import org.kumquatplank.core.log.LogRecord;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.link.PeerLinks;
import org.kumquatplank.link.SharedSecret;
import org.kumquatplank.link.proto.BillOpen;
import org.kumquatplank.link.proto.BillRecord;
import org.kumquatplank.link.proto.BillSettle;
import org.kumquatplank.link.proto.Digest;
import org.kumquatplank.link.proto.Frame;

class PeerServerTest {
  private final AtomicBoolean readHasEnded = new AtomicBoolean(true);
  private final Freshness freshness = Freshness.create(this::nanoTime);
  private final BillBackups backups = new BillBackups("a", "domain", "region", InstanceList::empty);
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

  private PeerServer serverOf(ControlThread controlThread, PendingBills pending) {
    return new PeerServer(
        "a", controlThread, state, freshness, null, pending, null, backups, null, () -> false);
  }

  // The digest paired the offset before a read with the confirmation after it: a peer that lacked
  // the same change counted as up to date.
  @Example
  void testDigestNamesAnOffsetThatItsConfirmationCovers() {
    try (ControlThread controlThread = new ControlThread()) {
      PeerServer server = serverOf(controlThread, PendingBills.create());
      applyAndConfirm(0, 0);
      readHasEnded.set(false);
      Digest digest = server.digest();
      assertThat(digest.getProofAgeMillis()).isEqualTo(0);
      assertThat(digest.getConfigNextOffset()).isEqualTo(2);
    }
  }

  private static BillRecord bill(Bill.Ending ending) {
    return LinkCodec.toProto(new Bill("id", "hq", "title", "cheap", 1, 8, 9, ending));
  }

  // The bill was settled as that of a lost instance, and the final bill was dropped as a duplicate.
  @Example
  void testOpenBillOfAPeerThatIsNotListedYetIsKept() {
    PendingBills pending = PendingBills.create();
    try (ControlThread controlThread = new ControlThread();
        PeerLinks link =
            PeerLinks.open("a", SharedSecret.of("secret"), "127.0.0.1", 0, (p, f) -> null)) {
      backups.setLink(link);
      PeerServer server = serverOf(controlThread, pending);
      BillOpen open = BillOpen.newBuilder().setBill(bill(Bill.Ending.CUT_SHORT)).build();
      server.handle("b", Frame.newBuilder().setBillOpen(open).build());
      pending.settleLost(backups.listedOrRecent());
      BillSettle settle = BillSettle.newBuilder().setBill(bill(Bill.Ending.WHOLE)).build();
      server.handle("b", Frame.newBuilder().setBillSettle(settle).build());
      assertThat(pending.unwritten(9))
          .extracting(pendingBill -> pendingBill.bill().ending())
          .containsExactly(Bill.Ending.WHOLE);
    }
  }
}
