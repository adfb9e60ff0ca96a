package org.kumquatplank.edge;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import org.kumquatplank.core.catalog.Catalog;
import org.kumquatplank.core.relay.LogPosition;
import org.kumquatplank.link.proto.CatalogOffer;
import org.kumquatplank.link.proto.EdgeDigest;
import org.kumquatplank.platform.wire.CatalogDecoder;

/**
 * The newest configuration that this instance has seen; it never goes back to an older one.
 *
 * <p>A store that was restored may lack it. It is then offered to instances that have read all that
 * the store has. Confined to the control thread.
 */
final class CatalogState {
  private static final long OFFER_INTERVAL_MICROS = 1_000_000;
  private static final long NO_VERSION = -1;

  private final String instance;
  private final Map<String, Long> nextOfferAt = new HashMap<>();
  private Optional<Catalog> catalog = Optional.empty();
  private byte[] value = {};

  private CatalogState(String instance) {
    this.instance = instance;
  }

  /** Returns the state of an instance that knows no configuration yet. */
  static CatalogState create(String instance) {
    return new CatalogState(instance);
  }

  /** Returns the version, or -1 if none is known. */
  long version() {
    return catalog.map(Catalog::version).orElse(NO_VERSION);
  }

  /**
   * Takes over a configuration if it is newer; returns it in that case.
   *
   * @param position where it is in the store
   */
  Optional<Catalog> take(byte[] newValue, String position, String source) {
    Catalog read = CatalogDecoder.decode(newValue);
    if (read.version() <= version()) {
      return Optional.empty();
    }
    catalog = Optional.of(read);
    value = newValue.clone();
    EdgeLog.event("catalog")
        .addKeyValue("version", read.version())
        .addKeyValue("offset", position)
        .addKeyValue("source", source)
        .log();
    return catalog;
  }

  /** Takes over a configuration that a peer has offered if it is newer; returns it in that case. */
  Optional<Catalog> takeOffered(CatalogOffer offer) {
    return take(ValueCompression.decompress(offer.getValue()), "none", "peer");
  }

  /**
   * Returns the configuration if a peer needs it that can't read it from the store, and this
   * instance is the first that has it.
   *
   * @param own position up to which this instance has read the operator's topic
   * @param live returns the live peers
   */
  Optional<CatalogOffer> offerFor(
      EdgeDigest peer, LogPosition own, Supplier<List<PeerDirectory.Peer>> live, long now) {
    LogPosition peerPosition = LogPosition.of(peer.getOperatorEra(), peer.getOperatorOffset());
    boolean storeLacksIt =
        own.era() != LogPosition.NO_ERA
            && own.isKnown()
            && own.isInEraOf(peerPosition)
            && !peerPosition.isBefore(own);
    if (!storeLacksIt || peer.getCatalogVersion() >= version()) {
      return Optional.empty();
    }
    boolean isFirst =
        live.get().stream()
            .map(PeerDirectory.Peer::digest)
            .filter(d -> d.getCatalogVersion() >= version())
            .noneMatch(d -> d.getInstance().compareTo(instance) < 0);
    if (!isFirst || now < nextOfferAt.getOrDefault(peer.getInstance(), Long.MIN_VALUE)) {
      return Optional.empty();
    }
    nextOfferAt.values().removeIf(at -> now >= at);
    nextOfferAt.put(peer.getInstance(), now + OFFER_INTERVAL_MICROS);
    return Optional.of(
        CatalogOffer.newBuilder().setValue(ValueCompression.compress(value)).build());
  }
}
