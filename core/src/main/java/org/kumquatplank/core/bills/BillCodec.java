package org.kumquatplank.core.bills;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonParseException;
import java.util.List;

/** Serializes batches of bills to and from JSON. Stateless and thread-safe. */
public final class BillCodec {
  private static final Gson GSON = new GsonBuilder().disableHtmlEscaping().create();

  private BillCodec() {}

  /** Returns the batch as one line of JSON. */
  public static String toJson(List<Bill> bills) {
    return GSON.toJson(bills);
  }

  /** Returns the bills of a batch, or an empty list if the text is not a batch of bills. */
  public static List<Bill> fromJson(String text) {
    try {
      Bill[] bills = GSON.fromJson(text, Bill[].class);
      return bills == null ? List.of() : List.of(bills);
    } catch (JsonParseException e) {
      return List.of();
    }
  }
}
