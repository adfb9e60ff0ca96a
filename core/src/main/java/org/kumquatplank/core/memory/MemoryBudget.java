package org.kumquatplank.core.memory;

/**
 * Account of the bytes that a process holds for its callers.
 *
 * <p>Answers callers that send many large requests at once and finish few of them: above half of
 * its limit, large requests are read one at a time; above the limit, connections are closed. Not
 * thread-safe.
 */
public final class MemoryBudget {
  /** Share of the heap that callers may take; the largest request is a quarter of it at most. */
  private static final int HEAP_DIVISOR = 3;

  /** Share of the memory of the machine, for processes with a heap that nearly fills it. */
  private static final int MACHINE_DIVISOR = 8;

  /** Most that unfinished responses take in total, bytes. */
  private static final long MAX_RESPONSE_BYTES = 16 * 1024 * 1024;

  /** A request of this size is read also where large ones wait, bytes. */
  private static final long SMALL_REQUEST_BYTES = 64 * 1024;

  private final long limitBytes;
  private long heldBytes;

  private MemoryBudget(long limitBytes) {
    this.limitBytes = limitBytes;
  }

  /**
   * Returns an empty account.
   *
   * @param heapBytes maximum size of the heap, bytes
   * @param machineBytes memory that the process may take of its machine, bytes
   */
  public static MemoryBudget of(long heapBytes, long machineBytes) {
    return new MemoryBudget(Math.min(heapBytes / HEAP_DIVISOR, machineBytes / MACHINE_DIVISOR));
  }

  /** Records that a holder has grown, or shrunk if the number of bytes is negative. */
  public void add(long bytes) {
    heldBytes += bytes;
  }

  public long heldBytes() {
    return heldBytes;
  }

  /** Returns the limit, bytes. */
  public long limitBytes() {
    return limitBytes;
  }

  /** Returns the limit on unfinished responses alone, bytes. */
  public long responseLimitBytes() {
    return Math.min(limitBytes, MAX_RESPONSE_BYTES);
  }

  /** Returns whether large requests have to wait, and those without progress are closed. */
  public boolean isPressed() {
    return heldBytes > limitBytes / 2;
  }

  /** Returns whether connections have to be closed at once. */
  public boolean isExceeded() {
    return heldBytes > limitBytes;
  }

  /** Returns whether a request of this size waits until the account is no longer pressed. */
  public boolean mustWait(long requestBytes) {
    return isPressed() && requestBytes > SMALL_REQUEST_BYTES;
  }
}
