package org.kumquatplank.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalDouble;
import org.kumquatplank.core.catalog.BackendServer;
import org.kumquatplank.core.pace.ServerPace;
import org.kumquatplank.core.placement.ColdServer;

/**
 * State of one backend server: in-flight requests, reported load and failure suspicion.
 *
 * <p>Not thread-safe.
 */
public final class BackendState {
  /** Lifetime of the load that a peer reported; covers three lost digests. */
  private static final long PEER_LOAD_TTL_MICROS = 1_500_000;

  /**
   * Maximum age of a load report; an older one does not predict the latency of the next request.
   */
  private static final long REPORT_MAX_AGE_MICROS = 250_000;

  /** Length of the first suspicion period; each further period doubles it, up to the maximum. */
  private static final long INITIAL_SUSPICION_MICROS = 500_000;

  private static final long MAX_SUSPICION_MICROS = 8_000_000;

  /** Suspicion period after a peer reported the server as suspect. */
  private static final long PEER_SUSPICION_MICROS = 700_000;

  private final Map<String, ExpiringPeerLoad> loadByPeer = new HashMap<>();
  private BackendServer server;
  private int inFlightRequests;
  private int pendingPrefillTokens;
  private int openConnections;
  private LoadReport lastReport;
  private Optional<RateShare> rateShare = Optional.empty();
  private long suspicionMicros;
  private long suspectUntil = Long.MIN_VALUE;
  private long peerSuspectUntil = Long.MIN_VALUE;
  private boolean onProbation;
  private long lastProgressAt = Long.MIN_VALUE / 2;
  private boolean removed;
  private boolean leaving;
  private long backOffUntil = Long.MIN_VALUE;
  private int rampLimit = Integer.MAX_VALUE;
  private ColdServer coldServer = ColdServer.warm();
  private final ServerPace pace = ServerPace.unknown();
  private long roundTripMicros;

  BackendState(BackendServer server) {
    this.server = server;
  }

  /** Load reported by a peer and the time at which it expires. */
  private record ExpiringPeerLoad(PeerLoad load, long validUntil) {}

  /** Returns the latest registration of the backend server. */
  public BackendServer server() {
    return server;
  }

  void updateServer(BackendServer newServer) {
    server = newServer;
  }

  /** Sets the state that says whether the server is cold. */
  public void setColdServer(ColdServer newColdServer) {
    coldServer = newColdServer;
  }

  /** Returns whether the server is cold, and what it may get meanwhile. */
  public ColdServer coldServer() {
    return coldServer;
  }

  /** Returns whether the server gets no new requests because it was removed, drains or leaves. */
  public boolean isClosed() {
    return removed || leaving || server.draining();
  }

  /** Records that the server said in a response that it leaves; returns whether that is new. */
  public boolean recordLeaving() {
    boolean isNew = !leaving;
    leaving = true;
    return isNew;
  }

  /** Returns whether the server said in a response that it leaves. */
  public boolean isLeaving() {
    return leaving;
  }

  /** Marks the server as removed from the list. */
  public void markRemoved() {
    removed = true;
  }

  /**
   * Records that a process at the address refused a request as misdirected.
   *
   * <p>The server is gone only if another one refused it. Under the id of the server, the cause is
   * the request, such as a model that the server does not have. Without an id either is possible.
   *
   * @param respondingId id of the process that refused the request
   */
  public void recordMisdirected(Optional<String> respondingId, long now) {
    if (respondingId.isEmpty()) {
      recordFailure(now);
    } else if (!isServer(respondingId)) {
      markRemoved();
    }
  }

  /** Returns whether an id is that of the server. */
  public boolean isServer(Optional<String> id) {
    return id.isPresent() && id.get().equals(server.id());
  }

  /**
   * Records a request that is about to be sent.
   *
   * @param promptTokens prompt tokens that need prefill
   */
  public void requestStarted(int promptTokens) {
    inFlightRequests++;
    pendingPrefillTokens += promptTokens;
  }

  /** Records that the prefill of a request is done. */
  public void prefillCompleted(int promptTokens) {
    pendingPrefillTokens = Math.max(0, pendingPrefillTokens - promptTokens);
  }

  /** Records the end of a request. */
  public void requestEnded() {
    inFlightRequests = Math.max(0, inFlightRequests - 1);
  }

  public void connectionOpened() {
    openConnections++;
  }

  public void connectionClosed() {
    openConnections = Math.max(0, openConnections - 1);
  }

  /** Returns the number of open connections of this instance. */
  public int openConnections() {
    return openConnections;
  }

  /** Returns the number of in-flight requests of this instance. */
  public int inFlightRequests() {
    return inFlightRequests;
  }

  /** Returns the prompt tokens of this instance whose prefill is pending. */
  public int pendingPrefillTokens() {
    return pendingPrefillTokens;
  }

  /**
   * Sets the limit that a response named, or that it named none.
   *
   * @param requestsPerSecond limit for all instances together
   * @param instances number of live instances
   * @return whether that is a change
   */
  public boolean setRequestLimit(OptionalDouble requestsPerSecond, int instances, long now) {
    boolean unchanged =
        requestsPerSecond.isEmpty()
            ? rateShare.isEmpty()
            : rateShare.isPresent()
                && rateShare.get().requestsPerSecond() == requestsPerSecond.getAsDouble();
    if (unchanged) {
      return false;
    }
    rateShare =
        requestsPerSecond.isEmpty()
            ? Optional.empty()
            : Optional.of(
                RateShare.create(requestsPerSecond.getAsDouble(), instances, Math.random(), now));
    return true;
  }

  /** Returns whether the limit of the server, if it named one, allows a request now. */
  boolean isWithinRequestLimit(int instances, long now) {
    return rateShare.isEmpty() || rateShare.get().isAvailable(instances, now);
  }

  /** Counts a request that is sent against the limit of the server. */
  void countAgainstRequestLimit(int instances, long now) {
    rateShare.ifPresent(share -> share.recordRequest(instances, now));
  }

  /**
   * Records that the server wants nothing more from this instance until a deadline.
   *
   * <p>After it, the server gets one request at a time, and twice as many with each that it
   * accepts, so that it is not met by all that have waited.
   *
   * @return whether the server was in use before
   */
  public boolean backOff(long until, long now) {
    boolean wasInUse = !isBackingOff(now);
    backOffUntil = Math.max(backOffUntil, until);
    rampLimit = 1;
    return wasInUse;
  }

  private boolean isBackingOff(long now) {
    return now < backOffUntil;
  }

  /** Returns the time from which the server takes requests of this instance, microseconds. */
  long opensAt() {
    return backOffUntil;
  }

  /** Records that the server accepted a request. */
  public void recordAccepted(long now) {
    if (!isBackingOff(now)) {
      rampLimit = rampLimit > Integer.MAX_VALUE / 2 ? Integer.MAX_VALUE : rampLimit * 2;
    }
  }

  /** Returns whether the server takes one more request of this instance. */
  boolean takesAnother(long now) {
    return !isBackingOff(now) && inFlightRequests < rampLimit && coldServer.permits(now);
  }

  /** Records a load report that came with a response. */
  public void recordLoadReport(LoadReport load) {
    lastReport = load;
  }

  /** Returns the last load report, or nothing if it has expired. */
  public Optional<LoadReport> freshLoadReport(long now) {
    return lastReport != null && now - lastReport.receivedAt() < REPORT_MAX_AGE_MICROS
        ? Optional.of(lastReport)
        : Optional.empty();
  }

  /** Returns the current slowdown of the server: the learned one and that of this moment. */
  public double slowdownFactor(long now) {
    double moment =
        freshLoadReport(now).map(r -> pace.momentarySlowdown(r.slowdownFactor())).orElse(1.0);
    return moment * learnedSlowdown(now);
  }

  /** Returns by how much the server is slower than the others of its service at its load. */
  double learnedSlowdown(long now) {
    return pace.slowdown(() -> concurrentRequests(now), server.slots(), now);
  }

  /** Returns the learned slowdown in percent, 100 being normal. */
  public long learnedSlowdownPercent(long now) {
    return Math.round(100 * learnedSlowdown(now));
  }

  /** Returns what is known of the speed of the server. */
  public ServerPace pace() {
    return pace;
  }

  /** Returns the requests at the server: those that are known of, or more if it reported more. */
  public int concurrentRequests(long now) {
    int known = totalInFlightRequests(now);
    return freshLoadReport(now).map(r -> Math.max(known, r.running() + r.queued())).orElse(known);
  }

  /** Returns whether the server has as many requests as it takes well, but fewer than its slots. */
  boolean isAtLearnedLimit(long now) {
    int limit = pace.limit(server.slots(), now);
    return limit < server.slots() && concurrentRequests(now) >= limit;
  }

  /** Records the time that opening a connection took, which is a round trip of the link. */
  public void recordConnectTime(long micros) {
    boolean isLonger = roundTripMicros > 0 && micros > roundTripMicros;
    roundTripMicros = isLonger ? roundTripMicros + (micros - roundTripMicros) / 5 : micros;
  }

  /** Returns the round trip of the link to the server, microseconds, 0 if unknown. */
  public long roundTripMicros() {
    return roundTripMicros;
  }

  /** Replaces the load reported by a peer. */
  public void updatePeerLoad(String peer, PeerLoad load, long now) {
    loadByPeer.put(peer, new ExpiringPeerLoad(load, now + PEER_LOAD_TTL_MICROS));
    if (load.suspect()) {
      peerSuspectUntil = now + PEER_SUSPICION_MICROS;
    }
  }

  /** Removes the load reported by a peer. */
  public void removePeerLoad(String peer) {
    loadByPeer.remove(peer);
  }

  /** Returns the in-flight requests of this instance and of peers with unexpired reports. */
  public int totalInFlightRequests(long now) {
    return inFlightRequests + peerSum(now, false);
  }

  /** Returns the pending prefill tokens of this instance and of peers with unexpired reports. */
  public int totalPendingPrefillTokens(long now) {
    return pendingPrefillTokens + peerSum(now, true);
  }

  private int peerSum(long now, boolean countTokens) {
    int sum = 0;
    for (ExpiringPeerLoad entry : loadByPeer.values()) {
      if (now < entry.validUntil) {
        sum += countTokens ? entry.load.pendingPrefillTokens() : entry.load.inFlightRequests();
      }
    }
    return sum;
  }

  /** Records that data of any request was received from the server. */
  public void recordProgress(long now) {
    lastProgressAt = now;
  }

  /** Returns when data of any request was last received from the server, microseconds. */
  public long lastProgressAt() {
    return lastProgressAt;
  }

  /**
   * Records a failure or a silence, which starts a suspicion period.
   *
   * <p>Each period is twice as long as the one before, up to the maximum. Failures during a period
   * are ignored.
   */
  public void recordFailure(long now) {
    if (now < suspectUntil) {
      return;
    }
    suspicionMicros =
        suspicionMicros == 0
            ? INITIAL_SUSPICION_MICROS
            : Math.min(MAX_SUSPICION_MICROS, suspicionMicros * 2);
    suspectUntil = now + suspicionMicros;
    onProbation = true;
  }

  /**
   * Records a successful response. After a suspicion period it ends the probation and halves the
   * length on which the next period is based.
   */
  public void recordSuccess(long now) {
    if (now >= suspectUntil) {
      onProbation = false;
      suspicionMicros /= 2;
    }
  }

  /** Returns whether this instance recently recorded a failure. */
  public boolean isLocallySuspect(long now) {
    return now < suspectUntil;
  }

  /** Returns whether the server should get requests only if there is no other candidate. */
  public boolean isSuspect(long now) {
    return now < suspectUntil || now < peerSuspectUntil || (onProbation && inFlightRequests > 0);
  }
}
