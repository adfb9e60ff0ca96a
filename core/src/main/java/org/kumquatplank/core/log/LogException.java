package org.kumquatplank.core.log;

/** Thrown when an operation of the log fails; states whether an append may have taken effect. */
public final class LogException extends RuntimeException {
  private static final long serialVersionUID = 1L;

  /** The possible effect of a failed append. */
  public enum Effect {
    /** The record was not appended and will not be. */
    NONE,
    /** The record may have been appended, or may be appended later. */
    UNKNOWN
  }

  private final Effect effect;

  private LogException(Effect effect, String message, Throwable cause) {
    super(message, cause);
    this.effect = effect;
  }

  /** Returns an exception for a failure that certainly had no effect. */
  public static LogException noEffect(String message) {
    return new LogException(Effect.NONE, message, null);
  }

  /** Returns an exception for a failure whose effect only reading the stream shows. */
  public static LogException unknownEffect(String message, Throwable cause) {
    return new LogException(Effect.UNKNOWN, message, cause);
  }

  /** Returns the possible effect of the failed append. */
  public Effect effect() {
    return effect;
  }
}
