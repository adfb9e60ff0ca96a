package org.kumquatplank.testkit;

import java.util.Comparator;
import java.util.PriorityQueue;

/**
 * Queue for the slots of an engine, ordered by priority (lowest number first) and then by arrival.
 * Thread-safe.
 */
final class SlotQueue {
  private final PriorityQueue<WaitingRequest> waiting =
      new PriorityQueue<>(
          Comparator.comparingLong(WaitingRequest::priority)
              .thenComparingLong(WaitingRequest::arrival));
  private final int slots;
  private int running;
  private long nextArrival;

  SlotQueue(int slots) {
    this.slots = slots;
  }

  /** A request that waits for a slot. */
  private record WaitingRequest(long priority, long arrival) {}

  /** Blocks until the request is at the head of the queue and a slot is free, then takes it. */
  synchronized void acquire(long priority) throws InterruptedException {
    WaitingRequest request = new WaitingRequest(priority, nextArrival++);
    waiting.add(request);
    while (running >= slots || !request.equals(waiting.peek())) {
      wait();
    }
    waiting.remove(request);
    running++;
    notifyAll();
  }

  synchronized void release() {
    running--;
    notifyAll();
  }

  synchronized int running() {
    return running;
  }

  synchronized int queued() {
    return waiting.size();
  }

  int slots() {
    return slots;
  }
}
