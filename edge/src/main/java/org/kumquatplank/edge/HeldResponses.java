package org.kumquatplank.edge;

import org.kumquatplank.core.dispatch.SendTracker;

/**
 * What an exchange holds of responses: an unfinished one, and those that its send tracker keeps.
 *
 * <p>Confined to the traffic thread.
 */
final class HeldResponses {
  private final EventSplitter events = new EventSplitter();
  private final ResponseBuffer buffer = new ResponseBuffer();
  private final SendTracker<BackendResponse> sendTracker;

  HeldResponses(SendTracker<BackendResponse> sendTracker) {
    this.sendTracker = sendTracker;
  }

  EventSplitter events() {
    return events;
  }

  ResponseBuffer buffer() {
    return buffer;
  }

  void dropUnfinished() {
    events.dropPartial();
    buffer.clear();
  }

  void dropAll() {
    dropUnfinished();
    sendTracker.dropKept();
  }

  int size() {
    int keptBytes = sendTracker.kept().mapToInt(r -> r.body().readableBytes()).sum();
    return events.partialBytes() + buffer.size() + keptBytes;
  }
}
