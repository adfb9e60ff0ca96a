package org.kumquatplank.core.dispatch;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.kumquatplank.core.catalog.BackendServer;

/**
 * What this instance knows of one backend server and has under way there.
 *
 * <p>Not thread-safe.
 */
public final class BackendState {
  /** A peer's figures count for this long: three of its digests may be lost. */
  private static final long PEER_LOAD_MICROS = 1_500_000;

  /** Reports describe a moment: an older one says little about the next answer. */
  private static final long REPORT_MICROS = 250_000;

  private static final long FIRST_SUSPICION_MICROS = 500_000;
  private static final long LONGEST_SUSPICION_MICROS = 8_000_000;
  private static final long PEER_SUSPICION_MICROS = 700_000;

  private final Map<String, Held> peers = new HashMap<>();
  private BackendServer server;
  private int requests;
  private int unreadTokens;
  private int connections;
  private ReportedLoad report;
  private long suspicionMicros;
  private long suspectUntil = Long.MIN_VALUE;
  private long peerSuspectUntil = Long.MIN_VALUE;
  private boolean onProbation;
  private long progressAt = Long.MIN_VALUE / 2;
  private boolean gone;

  BackendState(BackendServer server) {
    this.server = server;
  }

  /** A peer's figures and the time until which they count. */
  private record Held(PeerLoad load, long until) {}

  /** Returns the backend server as it last described itself. */
  public BackendServer server() {
    return server;
  }

  void setServer(BackendServer newServer) {
    server = newServer;
  }

  /** Returns whether it takes no new work any more. */
  public boolean isClosed() {
    return gone || server.leaving();
  }

  /** Notes that it has left the list, or that another process answers at its address. */
  public void markGone() {
    gone = true;
  }

  /** Notes a request that is about to be sent. */
  public void begin(int promptTokens) {
    requests++;
    unreadTokens += promptTokens;
  }

  /** Notes that the prompt of a request has been read. */
  public void promptRead(int promptTokens) {
    unreadTokens = Math.max(0, unreadTokens - promptTokens);
  }

  /** Notes the end of a request. */
  public void end() {
    requests = Math.max(0, requests - 1);
  }

  /** Notes a connection that was opened. */
  public void connectionOpened() {
    connections++;
  }

  /** Notes a connection that was closed. */
  public void connectionClosed() {
    connections = Math.max(0, connections - 1);
  }

  /** Returns the open connections of this instance. */
  public int connections() {
    return connections;
  }

  /** Returns the requests of this instance that are under way there. */
  public int requests() {
    return requests;
  }

  /** Returns the prompt tokens of this instance that it has not read yet. */
  public int unreadTokens() {
    return unreadTokens;
  }

  /** Notes load that it stated with an answer. */
  public void reported(ReportedLoad load) {
    report = load;
  }

  /** Returns the load that it stated, if that was a moment ago. */
  public Optional<ReportedLoad> freshReport(long now) {
    return report != null && now - report.at() < REPORT_MICROS
        ? Optional.of(report)
        : Optional.empty();
  }

  /** Returns how long work takes there now, 1 as usual. */
  public double slowness(long now) {
    return freshReport(now).map(ReportedLoad::slowness).orElse(1.0);
  }

  /** Notes what a peer has under way there. */
  public void peerLoad(String peer, PeerLoad load, long now) {
    peers.put(peer, new Held(load, now + PEER_LOAD_MICROS));
    if (load.suspect()) {
      peerSuspectUntil = now + PEER_SUSPICION_MICROS;
    }
  }

  /** Forgets what a peer had under way. */
  public void forgetPeer(String peer) {
    peers.remove(peer);
  }

  /** Returns the requests of all instances, as far as known. */
  public int allRequests(long now) {
    return requests + peerSum(now, false);
  }

  /** Returns the unread prompt tokens of all instances, as far as known. */
  public int allUnreadTokens(long now) {
    return unreadTokens + peerSum(now, true);
  }

  private int peerSum(long now, boolean tokens) {
    int sum = 0;
    for (Held held : peers.values()) {
      if (now < held.until) {
        sum += tokens ? held.load.unreadTokens() : held.load.requests();
      }
    }
    return sum;
  }

  /** Notes that something came from it, for whichever request. */
  public void progressed(long now) {
    progressAt = now;
  }

  /** Returns when something last came from it, for whichever request, microseconds. */
  public long progressAt() {
    return progressAt;
  }

  /** Notes a failure or a silence; repeated ones are remembered for longer. */
  public void failed(long now) {
    if (now < suspectUntil) {
      return;
    }
    suspicionMicros =
        suspicionMicros == 0
            ? FIRST_SUSPICION_MICROS
            : Math.min(LONGEST_SUSPICION_MICROS, suspicionMicros * 2);
    suspectUntil = now + suspicionMicros;
    onProbation = true;
  }

  /** Notes a good answer. */
  public void succeeded(long now) {
    if (now >= suspectUntil) {
      onProbation = false;
      suspicionMicros /= 2;
    }
  }

  /** Returns whether this instance found it failing a moment ago. */
  public boolean isOwnSuspect(long now) {
    return now < suspectUntil;
  }

  /** Returns whether it should get no work while others can take it. */
  public boolean isSuspect(long now) {
    return now < suspectUntil || now < peerSuspectUntil || (onProbation && requests > 0);
  }
}
