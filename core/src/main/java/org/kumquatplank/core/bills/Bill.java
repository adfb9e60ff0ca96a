package org.kumquatplank.core.bills;

/**
 * The charge to a client account for one request.
 *
 * @param id identifier of the request, the same for all its submissions
 * @param account name of the client account
 * @param workClass name of the work class, or of the plain service
 * @param version name of the model version, or an empty string for a plain service
 * @param promptTokens number of prompt tokens
 * @param completionTokens number of generated tokens
 * @param costMicros cost in millionths of the currency unit
 * @param ending how the request ended
 */
public record Bill(
    String id,
    String account,
    String workClass,
    String version,
    long promptTokens,
    long completionTokens,
    long costMicros,
    Ending ending) {

  /** How a billed request ended. */
  public enum Ending {
    /** The caller received the complete response. */
    WHOLE,
    /** The response was cut short; only the delivered part is billed. */
    CUT_SHORT,
    /** The instance that served the request was lost; nothing is charged. */
    INSTANCE_LOST
  }

  /** Returns the zero-cost bill of a request whose instance was lost before it settled the bill. */
  public Bill asInstanceLost() {
    return new Bill(id, account, workClass, version, 0, 0, 0, Ending.INSTANCE_LOST);
  }
}
