package org.kumquatplank.core.membership;

/** When other instances last sent something, as one instance tells another. Not thread-safe. */
public final class LivenessReport {
  /** Unit of the ages, microseconds. */
  static final long UNIT_MICROS = 80_000;

  /** Greatest age that is told. */
  static final int MAX_AGE = 127;

  /** Bit of a process that leaves. */
  private static final int LEAVING = 128;

  private final int[] processes;
  private final byte[] ages;
  private int size;

  private LivenessReport(int capacity) {
    this.processes = new int[capacity];
    this.ages = new byte[capacity];
  }

  /** Returns an empty report with room for a number of processes. */
  public static LivenessReport create(int capacity) {
    return new LivenessReport(capacity);
  }

  /**
   * Adds a process.
   *
   * @param fingerprint hash of its name and start time
   * @param age time since it last sent, in units of 80 ms
   */
  void add(int fingerprint, int age, boolean leaving) {
    addEncoded(fingerprint, (byte) (leaving ? LEAVING | age : age));
  }

  /** Adds a process as {@link #encodedAge} gives it. */
  public void addEncoded(int fingerprint, byte encodedAge) {
    processes[size] = fingerprint;
    ages[size] = encodedAge;
    size++;
  }

  public int size() {
    return size;
  }

  public int fingerprint(int index) {
    return processes[index];
  }

  /** Returns a byte with the age of a process and whether it leaves. */
  public byte encodedAge(int index) {
    return ages[index];
  }

  int age(int index) {
    return ages[index] & MAX_AGE;
  }

  boolean isLeaving(int index) {
    return (ages[index] & LEAVING) != 0;
  }
}
