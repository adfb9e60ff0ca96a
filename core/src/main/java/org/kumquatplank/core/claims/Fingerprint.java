package org.kumquatplank.core.claims;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonParseException;
import com.google.gson.JsonParser;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;
import java.util.Map;
import java.util.TreeMap;

/**
 * Computes the digest that distinguishes a resubmitted call from a different call with the same
 * key.
 *
 * <p>The fields of a JSON body are sorted first, so that different serializations of the same
 * payload have the same digest. Stateless and thread-safe.
 */
public final class Fingerprint {
  private Fingerprint() {}

  /** Returns the SHA-256 digest of method, path and body as hexadecimal digits. */
  public static String of(String method, String path, String body) {
    return sha256(method + "\n" + path + "\n" + canonical(body));
  }

  /** Returns the SHA-256 digest of the UTF-8 encoded text as hexadecimal digits. */
  public static String sha256(String text) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      return HexFormat.of().formatHex(digest.digest(text.getBytes(StandardCharsets.UTF_8)));
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("the Java runtime does not provide SHA-256", e);
    }
  }

  private static String canonical(String body) {
    try {
      return sorted(JsonParser.parseString(body)).toString();
    } catch (JsonParseException e) {
      return body;
    }
  }

  private static JsonElement sorted(JsonElement element) {
    if (element instanceof JsonObject object) {
      Map<String, JsonElement> fields = new TreeMap<>(object.asMap());
      JsonObject copy = new JsonObject();
      fields.forEach((name, value) -> copy.add(name, sorted(value)));
      return copy;
    }
    if (element instanceof JsonArray array) {
      JsonArray copy = new JsonArray();
      array.forEach(item -> copy.add(sorted(item)));
      return copy;
    }
    return element;
  }
}
