package org.kumquatplank.core.config;

/**
 * One error in an operator's input, with its location.
 *
 * @param place location of the error: {@code line 3 column 7 $.classes[0].quality}, or the name of
 *     a flag
 * @param message description of the error and of the expected value
 */
public record Finding(String place, String message) {
  @Override
  public String toString() {
    return place + ": " + message;
  }
}
