package org.kumquatplank.core.claims;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import java.util.ArrayList;
import java.util.List;
import org.kumquatplank.core.claims.ClaimEntry.Claimed;
import org.kumquatplank.core.claims.ClaimEntry.Settled;

/** Serializes batches of claim entries to and from JSON. Stateless and thread-safe. */
public final class ClaimCodec {
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

  private ClaimCodec() {}

  /** Returns the batch as one line of JSON. */
  public static String toJson(List<ClaimEntry> entries) {
    return GSON.toJson(entries.stream().map(EntryShape::of).toList());
  }

  /** Returns the entries of a batch, or an empty list if the text is not a batch of entries. */
  public static List<ClaimEntry> fromJson(String text) {
    EntryShape[] shapes;
    try {
      shapes = GSON.fromJson(text, EntryShape[].class);
    } catch (JsonParseException e) {
      return List.of();
    }
    List<ClaimEntry> entries = new ArrayList<>();
    if (shapes != null) {
      for (EntryShape shape : shapes) {
        entries.add(shape.toEntry());
      }
    }
    return entries;
  }

  /**
   * The JSON form of an entry. A claim has a holder; a settlement has exactly one of the outcomes.
   */
  private record EntryShape(
      String account,
      String key,
      String fingerprint,
      String nonce,
      String holder,
      Outcome.Answered answered,
      Outcome.Lost lost,
      Outcome.NotSent notSent) {
    static EntryShape of(ClaimEntry entry) {
      String account = entry.key().account();
      String key = entry.key().key();
      return switch (entry) {
        case Claimed c ->
            new EntryShape(account, key, c.fingerprint(), c.nonce(), c.holder(), null, null, null);
        case Settled s ->
            switch (s.outcome()) {
              case Outcome.Answered a ->
                  new EntryShape(account, key, s.fingerprint(), s.nonce(), null, a, null, null);
              case Outcome.Lost l ->
                  new EntryShape(account, key, s.fingerprint(), s.nonce(), null, null, l, null);
              case Outcome.NotSent n ->
                  new EntryShape(account, key, s.fingerprint(), s.nonce(), null, null, null, n);
            };
      };
    }

    ClaimEntry toEntry() {
      ClaimKey claimKey = new ClaimKey(account, key);
      if (holder != null) {
        return new Claimed(claimKey, fingerprint, nonce, holder);
      }
      Outcome outcome = notSent;
      if (answered != null) {
        outcome = answered;
      } else if (lost != null) {
        outcome = lost;
      }
      return new Settled(claimKey, fingerprint, nonce, outcome);
    }
  }
}
