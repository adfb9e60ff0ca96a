package org.kumquatplank.daemon;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Supplier;
import org.kumquatplank.core.bills.Bill;
import org.kumquatplank.core.bills.BillTracker;
import org.kumquatplank.core.bills.PendingBills;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.membership.RendezvousHashing;
import org.kumquatplank.link.PeerLinks;
import org.kumquatplank.link.proto.BillCancel;
import org.kumquatplank.link.proto.BillOpen;
import org.kumquatplank.link.proto.BillSettle;
import org.kumquatplank.link.proto.BillsWritten;
import org.kumquatplank.link.proto.Frame;

/**
 * Sends copies of bills to the peers that back them up, and selects these peers.
 *
 * <p>Thread-safe.
 */
final class BillBackups implements BillTracker.BackupClient {
  private static final int MAX_BACKUPS = 3;
  private static final Duration INSTANCE_LOST_TIMEOUT = Duration.ofSeconds(10);

  private final String self;
  private final String failureDomain;
  private final String region;
  private final Supplier<InstanceList> instances;
  private final Map<String, Instant> lastSeen = new HashMap<>();
  private volatile PeerLinks link;

  BillBackups(String self, String failureDomain, String region, Supplier<InstanceList> instances) {
    this.self = self;
    this.failureDomain = failureDomain;
    this.region = region;
    this.instances = instances;
  }

  void setLink(PeerLinks peerLink) {
    link = peerLink;
  }

  /**
   * Returns the peers that may back up a bill, best first.
   *
   * <p>Peers in another failure domain come first, among them those of this region.
   */
  List<String> backupsFor(String billId) {
    Set<String> connected = link.connectedPeers();
    List<ListedInstance> peers =
        instances.get().entries().stream()
            .filter(e -> connected.contains(e.id()) && !e.leaving())
            .sorted(
                Comparator.comparing((ListedInstance e) -> e.failureDomain().equals(failureDomain))
                    .thenComparing(e -> !e.region().equals(region))
                    .thenComparing(e -> -RendezvousHashing.weight(billId, e.id())))
            .toList();
    return peers.stream().map(ListedInstance::id).limit(MAX_BACKUPS).toList();
  }

  @Override
  public void open(String backup, Bill bill) {
    BillOpen open = BillOpen.newBuilder().setBill(LinkCodec.toProto(bill)).build();
    link.send(backup, Frame.newBuilder().setBillOpen(open));
  }

  @Override
  public void cancel(String backup, String billId) {
    link.send(backup, Frame.newBuilder().setBillCancel(BillCancel.newBuilder().setId(billId)));
  }

  @Override
  public boolean settle(String backup, Bill bill, Instant deadline) {
    BillSettle settle = BillSettle.newBuilder().setBill(LinkCodec.toProto(bill)).build();
    return link.request(backup, Frame.newBuilder().setBillSettle(settle), deadline)
        .map(reply -> reply.getAck().getDone())
        .orElse(false);
  }

  /** Notifies the originating instances which of their bills are in the log. */
  void notifyWritten(List<PendingBills.PendingBill> bills) {
    Map<String, List<String>> byOrigin = new HashMap<>();
    for (PendingBills.PendingBill pendingBill : bills) {
      byOrigin
          .computeIfAbsent(pendingBill.origin(), o -> new ArrayList<>())
          .add(pendingBill.bill().id());
    }
    byOrigin.forEach(
        (origin, ids) ->
            link.send(
                origin,
                Frame.newBuilder().setBillsWritten(BillsWritten.newBuilder().addAllIds(ids))));
  }

  /**
   * Records that a peer sent a frame.
   *
   * <p>A peer that has just started may send bills before this instance finds it in the list.
   */
  synchronized void recordHeard(String peer) {
    lastSeen.put(peer, Instant.now());
  }

  /**
   * Returns the instances that are listed, connected or heard now, or were until recently.
   *
   * <p>An instance that left recently may still settle its bills.
   */
  synchronized Set<String> listedOrRecent() {
    Instant now = Instant.now();
    Set<String> current = new HashSet<>(link.connectedPeers());
    instances.get().entries().forEach(e -> current.add(e.id()));
    current.add(self);
    current.forEach(id -> lastSeen.put(id, now));
    lastSeen.values().removeIf(seen -> seen.plus(INSTANCE_LOST_TIMEOUT).isBefore(now));
    return Set.copyOf(lastSeen.keySet());
  }
}
