package org.kumquatplank.link;

import java.nio.charset.StandardCharsets;
import java.security.GeneralSecurityException;
import java.security.MessageDigest;
import java.security.SecureRandom;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/** The secret shared by all instances, and the MACs computed with it. Thread-safe. */
public final class SharedSecret {
  private static final String ALGORITHM = "HmacSHA256";
  private static final int NONCE_BYTES = 16;

  private final SecureRandom random = new SecureRandom();
  private final SecretKeySpec key;

  private SharedSecret(byte[] key) {
    this.key = new SecretKeySpec(key, ALGORITHM);
  }

  /** Returns a secret with the UTF-8 bytes of a text as its key. */
  public static SharedSecret of(String text) {
    return new SharedSecret(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Returns a new random nonce. */
  byte[] nonce() {
    byte[] nonce = new byte[NONCE_BYTES];
    random.nextBytes(nonce);
    return nonce;
  }

  /**
   * Returns the MAC of a role, an instance and a nonce.
   *
   * @param role purpose of the MAC, so that it can't be replayed for another one
   * @param nonce nonce from the other side, against replay
   */
  public byte[] computeMac(String role, String instance, byte[] nonce) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(key);
      mac.update(role.getBytes(StandardCharsets.UTF_8));
      mac.update((byte) 0);
      mac.update(instance.getBytes(StandardCharsets.UTF_8));
      mac.update((byte) 0);
      return mac.doFinal(nonce);
    } catch (GeneralSecurityException e) {
      throw new IllegalStateException("every JDK must support " + ALGORITHM, e);
    }
  }

  /** Returns whether a MAC is valid; compares in constant time. */
  public boolean verify(String role, String instance, byte[] nonce, byte[] candidate) {
    return MessageDigest.isEqual(computeMac(role, instance, nonce), candidate);
  }
}
