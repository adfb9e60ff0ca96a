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
import org.kumquatplank.core.bills.PendingBills;
import org.kumquatplank.core.bills.BillTracker;
import org.kumquatplank.core.membership.InstanceList;
import org.kumquatplank.core.membership.ListedInstance;
import org.kumquatplank.core.membership.Rendezvous;
import org.kumquatplank.link.PeerLink;
import org.kumquatplank.link.proto.BillCancel;
import org.kumquatplank.link.proto.BillOpen;
import org.kumquatplank.link.proto.BillSettle;
import org.kumquatplank.link.proto.BillsWritten;
import org.kumquatplank.link.proto.Frame;

/** Carries bills between instances and chooses who keeps them. Thread-safe. */
final class Billing implements BillTracker.BackupClient {
  private static final int MOST_KEEPERS = 3;
  private static final Duration LOST_AFTER = Duration.ofSeconds(10);

  private final String self;
  private final String failureDomain;
  private final String region;
  private final Supplier<InstanceList> list;
  private final Map<String, Instant> lastSeen = new HashMap<>();
  private volatile PeerLink link;

  Billing(String self, String failureDomain, String region, Supplier<InstanceList> list) {
    this.self = self;
    this.failureDomain = failureDomain;
    this.region = region;
    this.list = list;
  }

  void setLink(PeerLink newLink) {
    link = newLink;
  }

  /** Returns the keepers for a bill: another failure domain first, of them the nearest. */
  List<String> keepersFor(String billId) {
    Set<String> connected = link.connected();
    List<ListedInstance> peers =
        list.get().entries().stream()
            .filter(e -> connected.contains(e.id()) && !e.leaving())
            .sorted(
                Comparator.comparing((ListedInstance e) -> e.failureDomain().equals(failureDomain))
                    .thenComparing(e -> !e.region().equals(region))
                    .thenComparing(e -> -Rendezvous.weight(billId, e.id())))
            .toList();
    return peers.stream().map(ListedInstance::id).limit(MOST_KEEPERS).toList();
  }

  @Override
  public void open(String keeper, Bill bill) {
    BillOpen open = BillOpen.newBuilder().setBill(LinkCodec.toProto(bill)).build();
    link.send(keeper, Frame.newBuilder().setBillOpen(open));
  }

  @Override
  public void cancel(String keeper, String billId) {
    link.send(keeper, Frame.newBuilder().setBillCancel(BillCancel.newBuilder().setId(billId)));
  }

  @Override
  public boolean settle(String keeper, Bill bill, Instant deadline) {
    BillSettle settle = BillSettle.newBuilder().setBill(LinkCodec.toProto(bill)).build();
    return link.request(keeper, Frame.newBuilder().setBillSettle(settle), deadline)
        .map(reply -> reply.getAck().getDone())
        .orElse(false);
  }

  /** Tells the origins which of their bills the log has. */
  void tellWritten(List<PendingBills.PendingBill> bills) {
    Map<String, List<String>> byOrigin = new HashMap<>();
    for (PendingBills.PendingBill kept : bills) {
      byOrigin.computeIfAbsent(kept.origin(), o -> new ArrayList<>()).add(kept.bill().id());
    }
    byOrigin.forEach(
        (origin, ids) ->
            link.send(
                origin,
                Frame.newBuilder().setBillsWritten(BillsWritten.newBuilder().addAllIds(ids))));
  }

  /** Returns the instances that still run, or left so recently that they may yet settle. */
  synchronized Set<String> liveOrRecent() {
    Instant now = Instant.now();
    Set<String> listed = new HashSet<>(link.connected());
    list.get().entries().forEach(e -> listed.add(e.id()));
    listed.add(self);
    listed.forEach(id -> lastSeen.put(id, now));
    lastSeen.values().removeIf(seen -> seen.plus(LOST_AFTER).isBefore(now));
    return Set.copyOf(lastSeen.keySet());
  }
}
