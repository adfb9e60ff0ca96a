package org.kumquatplank.http;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.locks.ReentrantLock;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;

/**
 * Limit on the memory that all request bodies of a listener take.
 *
 * <p>Answers callers that send many large bodies at once and finish few of them: above the limit,
 * the connection with the largest incomplete body is closed. Thread-safe.
 */
final class BodyBudget {
  /** Memory that a byte of a body takes: in a buffer that grows, and in the text made of it. */
  private static final int BYTES_PER_BODY_BYTE = 3;

  private final long maxBytes;
  private final ReentrantLock lock = new ReentrantLock();
  private final Set<Body> bodies = new HashSet<>();
  private long heldBytes;

  private BodyBudget(long maxBytes) {
    this.maxBytes = maxBytes;
  }

  /**
   * Returns an empty budget.
   *
   * @param maxBytes memory that the bodies may take, bytes
   */
  static BodyBudget of(long maxBytes) {
    return new BodyBudget(maxBytes);
  }

  /** The body of one request, until its response is written. */
  final class Body implements AutoCloseable {
    private final Runnable closeConnection;
    private long bytes;
    private boolean complete;

    private Body(Runnable closeConnection) {
      this.closeConnection = closeConnection;
    }

    /**
     * Counts bytes that are about to be kept.
     *
     * @throws RouterException when there is no room for them
     */
    void add(int count) {
      for (Body largest : grow(this, (long) BYTES_PER_BODY_BYTE * count)) {
        largest.closeConnection.run();
      }
    }

    /** Records that the whole body has arrived. */
    void complete() {
      lock.lock();
      try {
        complete = true;
      } finally {
        lock.unlock();
      }
    }

    @Override
    public void close() {
      lock.lock();
      try {
        release(this);
      } finally {
        lock.unlock();
      }
    }
  }

  /**
   * Opens the account of a body.
   *
   * @param closeConnection closes the connection that the body arrives on
   */
  Body open(Runnable closeConnection) {
    Body body = new Body(closeConnection);
    lock.lock();
    try {
      bodies.add(body);
    } finally {
      lock.unlock();
    }
    return body;
  }

  /** Returns the memory that the bodies take, bytes. */
  long heldBytes() {
    lock.lock();
    try {
      return heldBytes;
    } finally {
      lock.unlock();
    }
  }

  /** Counts bytes, and returns the bodies whose connections are to be closed for them. */
  private List<Body> grow(Body body, long bytes) {
    List<Body> closed = new ArrayList<>();
    lock.lock();
    try {
      if (!bodies.contains(body)) {
        throw noRoom();
      }
      body.bytes += bytes;
      heldBytes += bytes;
      while (heldBytes > maxBytes) {
        Body largest = largestIncomplete(body);
        release(largest);
        if (largest == body) {
          throw noRoom();
        }
        closed.add(largest);
      }
    } finally {
      lock.unlock();
    }
    return closed;
  }

  private Body largestIncomplete(Body growing) {
    Body largest = growing;
    for (Body body : bodies) {
      if (!body.complete && body.bytes > largest.bytes) {
        largest = body;
      }
    }
    return largest;
  }

  private void release(Body body) {
    if (bodies.remove(body)) {
      heldBytes -= body.bytes;
    }
  }

  private static RouterException noRoom() {
    return RouterException.notRun(ErrorCode.OVERLOADED, "too many large requests at once");
  }
}
