package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import org.kumquatplank.core.dispatch.BackendSelector;
import org.kumquatplank.core.dispatch.LoadReport;
import org.kumquatplank.core.dispatch.ResponseKind;
import org.kumquatplank.core.dispatch.SendTracker;
import org.kumquatplank.core.rollout.UsualPace;
import org.kumquatplank.platform.wire.BackendResponseHead;

/**
 * One send of a request to a backend server.
 *
 * <p>Records in the send tracker whether the request may have run, and accounts for the load that
 * it puts on the backend server. Confined to the traffic thread.
 */
final class BackendCall {
  /** Time after its first event at which a response shows that the backend server did not crash. */
  private static final long RESPONDING_MICROS = 300_000;

  private final Exchange exchange;
  private final BackendSelector.Selection selection;
  private final SendTracker<?> sendTracker;
  private final int sendNumber;
  private final UsualPace.Work work;
  private final boolean noPrefillAhead;
  private BackendConnection connection;
  private BackendResponseHead head;
  private long sentAt;
  private long lastProgressAt;
  private long firstEventAt = Long.MAX_VALUE;
  private boolean responding;
  private boolean prefillDone;
  private boolean ended;

  private BackendCall(
      Exchange exchange,
      BackendSelector.Selection selection,
      SendTracker<?> sendTracker,
      long now) {
    this.exchange = exchange;
    this.selection = selection;
    this.sendTracker = sendTracker;
    this.sendNumber = sendTracker.addSend();
    this.noPrefillAhead = selection.backend().totalPendingPrefillTokens(now) == 0;
    this.work = new UsualPace.Work(exchange.request().route().name(), exchange.model());
    this.sentAt = now;
    this.lastProgressAt = now;
    selection.backend().requestStarted(selection.prefillTokens());
  }

  static BackendCall open(
      Exchange exchange,
      BackendSelector.Selection selection,
      SendTracker<?> sendTracker,
      long now) {
    return new BackendCall(exchange, selection, sendTracker, now);
  }

  BackendSelector.Selection selection() {
    return selection;
  }

  /** Returns the kind of work that the call is, for a comparison of its time. */
  UsualPace.Work work() {
    return work;
  }

  int eventCount() {
    return exchange.eventCount();
  }

  String requestId() {
    return exchange.request().id();
  }

  boolean hasEnded() {
    return ended;
  }

  long sentAt() {
    return sentAt;
  }

  /** Returns when the request was sent or last made progress, microseconds. */
  long lastProgressAt() {
    return lastProgressAt;
  }

  /** Returns whether no other prompt was queued for prefill at the backend server when it began. */
  boolean hadNoPrefillAhead() {
    return noPrefillAhead;
  }

  /** Sends the request on a connection; returns false if it must not be sent any more. */
  boolean onConnected(BackendConnection newConnection) {
    long now = Clock.micros();
    if (ended || exchange.endIfLate(now)) {
      return false;
    }
    if (!exchange.dispatcher().choice().permits(exchange, selection.backend())) {
      finish();
      exchange.onNotSent();
      return false;
    }
    connection = newConnection;
    sentAt = now;
    lastProgressAt = sentAt;
    sendTracker.recordSent(sendNumber);
    connection.send(this, exchange.backendRequest(this));
    return true;
  }

  void onConnectFailed(String reason) {
    if (!ended) {
      finish();
      selection.backend().recordFailure(Clock.micros());
      exchange.onConnectFailed(this, reason);
    }
  }

  void onHead(BackendResponseHead newHead) {
    head = newHead;
    lastProgressAt = Clock.micros();
    selection.backend().recordProgress(lastProgressAt);
    newHead
        .loadReport()
        .ifPresent(
            l ->
                selection
                    .backend()
                    .recordLoadReport(
                        new LoadReport(
                            l.running(),
                            l.queued(),
                            l.slots(),
                            l.slowdownFactor(),
                            lastProgressAt)));
    exchange
        .dispatcher()
        .choice()
        .setRequestLimit(selection.backend(), newHead.requestsPerSecond());
    if (!isFromOtherServer(newHead)) {
      exchange.dispatcher().choice().coldStarts().onResponse(selection.backend(), newHead);
    }
    sendTracker.recordResponse(sendNumber, newHead.kind());
    if (newHead.backOffMillis().isPresent()) {
      exchange.dispatcher().onBackOff(selection.backend(), newHead.backOffMillis().getAsLong());
    } else if (newHead.kind() != ResponseKind.REFUSAL) {
      selection.backend().recordAccepted(lastProgressAt);
    }
    if (newHead.leaving() && !isFromOtherServer(newHead)) {
      exchange.dispatcher().outcomes().onLeaving(selection.backend());
    }
    if (newHead.misdirected()) {
      selection.backend().recordMisdirected(newHead.backendId(), lastProgressAt);
    }
    markPrefillDone();
    if (newHead.isSuccess() && newHead.hasSeal()) {
      exchange.dispatcher().outcomes().onPace(exchange, this, newHead);
    }
    exchange.onHead(this, newHead);
  }

  /** Returns whether another process at the address refused the request. */
  private boolean isFromOtherServer(BackendResponseHead response) {
    return response.misdirected() && !selection.backend().isServer(response.backendId());
  }

  /**
   * Handles bytes of the body; returns whether they completed an event of a stream.
   *
   * <p>In a stream only an event is progress: comments and unfinished events may go on without end.
   */
  boolean onBody(ByteBuf bytes) {
    int eventsBefore = exchange.eventCount();
    exchange.onBody(this, head, bytes);
    boolean completedEvent = exchange.eventCount() > eventsBefore;
    if (completedEvent || !exchange.isStream(head)) {
      lastProgressAt = Clock.micros();
      selection.backend().recordProgress(lastProgressAt);
    }
    if (completedEvent) {
      firstEventAt = Math.min(firstEventAt, lastProgressAt);
      if (lastProgressAt - firstEventAt >= RESPONDING_MICROS) {
        onResponding();
      }
    }
    return completedEvent;
  }

  private void onResponding() {
    if (!responding) {
      responding = true;
      exchange.dispatcher().crashDetector().onResponding(exchange.request());
    }
  }

  /**
   * Handles the end of the connection before the end of the response, or as its only sign.
   *
   * <p>Called before the call ends. A crash right after the first event looks like one before it.
   *
   * @param responseEnded whether the end of the connection ends the response
   */
  void onConnectionLost(boolean responseEnded) {
    if (!ended && !responding) {
      exchange
          .dispatcher()
          .crashDetector()
          .onConnectionLost(selection.backend(), exchange.request(), responseEnded);
    }
  }

  void onEnd() {
    if (head.isSuccess() && head.bodyDelimited()) {
      onResponding();
    }
    finish();
    exchange.onEnd(this, head);
  }

  void onBroken(String reason) {
    if (!ended) {
      finish();
      exchange.onBrokenResponse(this, reason);
    }
  }

  void setReading(boolean reading) {
    if (connection != null && !ended) {
      connection.setReading(reading);
    }
  }

  /** Cancels the request at the backend server by closing its connection. */
  void cancel() {
    if (!ended) {
      exchange.dispatcher().outcomes().onCancelled(this);
      finish();
      if (connection != null) {
        connection.cancel();
      }
    }
  }

  private void markPrefillDone() {
    if (!prefillDone) {
      prefillDone = true;
      selection.backend().prefillCompleted(selection.prefillTokens());
    }
  }

  private void finish() {
    ended = true;
    markPrefillDone();
    selection.backend().requestEnded();
  }
}
