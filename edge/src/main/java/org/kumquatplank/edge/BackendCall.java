package org.kumquatplank.edge;

import io.netty.buffer.ByteBuf;
import org.kumquatplank.core.dispatch.BackendSelector;
import org.kumquatplank.core.dispatch.ReportedLoad;
import org.kumquatplank.core.dispatch.SendTracker;
import org.kumquatplank.core.dispatch.SendState;
import org.kumquatplank.platform.wire.BackendHead;

/**
 * One send of a request to a backend server.
 *
 * <p>Keeps the account of what is known of it, and of the load that it puts on the backend server.
 * Confined to the traffic thread.
 */
final class BackendCall {
  private final Exchange exchange;
  private final BackendSelector.Selection selection;
  private final SendTracker sendTracker;
  private final int number;
  private final boolean aloneInQueue;
  private BackendConnection connection;
  private BackendHead head;
  private long sentAt;
  private long progressAt;
  private boolean promptRead;
  private boolean over;

  private BackendCall(Exchange exchange, BackendSelector.Selection selection, SendTracker sendTracker, long now) {
    this.exchange = exchange;
    this.selection = selection;
    this.sendTracker = sendTracker;
    this.number = sendTracker.open();
    this.aloneInQueue = selection.backend().allUnreadTokens(now) == 0;
    this.sentAt = now;
    this.progressAt = now;
    selection.backend().begin(selection.unreadTokens());
  }

  static BackendCall open(Exchange exchange, BackendSelector.Selection selection, SendTracker sendTracker, long now) {
    return new BackendCall(exchange, selection, sendTracker, now);
  }

  BackendSelector.Selection choice() {
    return selection;
  }

  String requestId() {
    return exchange.request().id();
  }

  boolean isOver() {
    return over;
  }

  long sentAt() {
    return sentAt;
  }

  /** Returns when something last came from the backend server, or when the request was sent. */
  long progressAt() {
    return progressAt;
  }

  /** Whether no other request of ours waited to be read there. */
  boolean wasAloneInQueue() {
    return aloneInQueue;
  }

  void connected(BackendConnection newConnection) {
    if (over) {
      return;
    }
    connection = newConnection;
    sentAt = Clock.micros();
    progressAt = sentAt;
    sendTracker.set(number, SendState.MAY_HAVE_RUN);
    connection.send(this, exchange.backendRequest(this));
  }

  void notConnected(String reason) {
    if (!over) {
      finish();
      selection.backend().failed(Clock.micros());
      exchange.onNotConnected(this, reason);
    }
  }

  void onHead(BackendHead newHead) {
    head = newHead;
    progressAt = Clock.micros();
    selection.backend().progressed(progressAt);
    newHead
        .load()
        .ifPresent(
            l ->
                selection
                    .backend()
                    .reported(
                        new ReportedLoad(
                            l.running(), l.waiting(), l.slots(), l.slowness(), progressAt)));
    sendTracker.set(number, newHead.notRun() ? SendState.NOT_RUN : SendState.RAN);
    if (newHead.otherServer()) {
      selection.backend().markGone();
    }
    notePromptRead();
    exchange.onHead(this, newHead);
  }

  void onBody(ByteBuf bytes) {
    progressAt = Clock.micros();
    selection.backend().progressed(progressAt);
    exchange.onBody(this, head, bytes);
  }

  void onEnd() {
    finish();
    exchange.onEnd(this, head);
  }

  void broken(String reason) {
    if (!over) {
      finish();
      exchange.onBroken(this, reason);
    }
  }

  void setReading(boolean reading) {
    if (connection != null && !over) {
      connection.setReading(reading);
    }
  }

  /** Stops the backend server's work on it. */
  void cancel() {
    if (!over) {
      finish();
      if (connection != null) {
        connection.abandon();
      }
    }
  }

  private void notePromptRead() {
    if (!promptRead) {
      promptRead = true;
      selection.backend().promptRead(selection.unreadTokens());
    }
  }

  private void finish() {
    over = true;
    notePromptRead();
    selection.backend().end();
  }
}
