package org.kumquatplank.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.kumquatplank.core.config.internal.LocatedJson;
import org.kumquatplank.core.config.internal.LocatedObject;
import org.kumquatplank.core.config.internal.SyntaxFault;

/**
 * Parses and validates a configuration file and reports all errors together.
 *
 * <p>The static method is thread-safe.
 *
 * <pre>{@code
 * ConfigReadResult result = ConfigReader.read(text);
 * result.findings().forEach(System.err::println);
 * }</pre>
 */
public final class ConfigReader {
  private static final long DEFAULT_SERVICE_TIMEOUT_MILLIS = 10_000;
  private static final long MAX_MILLIS = 3_600_000;
  private static final long MAX_COST_MICROS = 1_000_000_000_000L;
  private static final int MAX_ITEMS = 10_000;
  private static final Set<String> CALL_METHODS = Set.of("POST", "GET");

  private final List<Finding> findings = new ArrayList<>();

  private ConfigReader() {}

  /** Parses and validates the text of a configuration file. */
  public static ConfigReadResult read(String text) {
    return new ConfigReader().readDocument(text);
  }

  private ConfigReadResult readDocument(String text) {
    LocatedObject root;
    try {
      root = LocatedJson.parse(text, findings);
    } catch (SyntaxFault e) {
      findings.add(e.finding());
      return new ConfigReadResult(Optional.empty(), findings);
    }
    root.rejectUnknownFields("classes", "accounts", "versions", "services");
    List<WorkClass> classes = readItems(root, "classes", this::readClass);
    List<ModelVersion> versions = readItems(root, "versions", this::readVersion);
    List<PlainService> services = readItems(root, "services", this::readService);
    List<ClientAccount> accounts = readItems(root, "accounts", this::readAccount);
    checkReferences(root, classes, versions, services);
    if (!findings.isEmpty()) {
      return new ConfigReadResult(Optional.empty(), findings);
    }
    return new ConfigReadResult(
        Optional.of(Configuration.of(0, classes, accounts, versions, services)), List.of());
  }

  /** Reads one item of a list. */
  private interface ItemReader<T> {
    T read(LocatedObject object);
  }

  private <T extends Named> List<T> readItems(
      LocatedObject root, String field, ItemReader<T> reader) {
    List<T> items = new ArrayList<>();
    Map<String, String> placesByName = new HashMap<>();
    for (LocatedObject object : root.objects(field, MAX_ITEMS)) {
      T item = reader.read(object);
      String earlierPlace = placesByName.putIfAbsent(item.name(), object.place());
      if (earlierPlace != null) {
        object.addFinding("name", "\"" + item.name() + "\" is already defined at " + earlierPlace);
      }
      items.add(item);
    }
    return items;
  }

  private WorkClass readClass(LocatedObject o) {
    o.rejectUnknownFields(
        "name", "quality", "firstTokenMillis", "finishMillis", "maxCostMicros", "whenUnmet");
    return new WorkClass(
        o.name("name"),
        o.fraction("quality"),
        o.wholeNumber("firstTokenMillis", 1, MAX_MILLIS),
        o.wholeNumber("finishMillis", 1, MAX_MILLIS),
        o.wholeNumber("maxCostMicros", 0, MAX_COST_MICROS),
        o.enumOrDefault("whenUnmet", WorkClass.WhenUnmet.class, WorkClass.WhenUnmet.BEST));
  }

  private ModelVersion readVersion(LocatedObject o) {
    o.rejectUnknownFields("name", "promptCost", "completionCost", "stage");
    return new ModelVersion(
        o.name("name"),
        o.wholeNumber("promptCost", 0, MAX_COST_MICROS),
        o.wholeNumber("completionCost", 0, MAX_COST_MICROS),
        o.enumOrDefault("stage", ModelVersion.Stage.class, ModelVersion.Stage.TRIAL));
  }

  private PlainService readService(LocatedObject o) {
    o.rejectUnknownFields("name", "onceOnly", "checksFencing", "timeoutMillis");
    List<String> calls = o.strings("onceOnly");
    for (String call : calls) {
      String[] words = call.split(" ", -1);
      if (words.length != 2 || !CALL_METHODS.contains(words[0]) || !words[1].startsWith("/")) {
        o.addFinding("onceOnly", "\"" + call + "\" is not of the form POST /path or GET /path");
      }
    }
    return new PlainService(
        o.name("name"),
        calls,
        o.booleanOrDefault("checksFencing", false),
        o.wholeNumberOrDefault("timeoutMillis", 1, MAX_MILLIS, DEFAULT_SERVICE_TIMEOUT_MILLIS));
  }

  private ClientAccount readAccount(LocatedObject o) {
    o.rejectUnknownFields("name", "credentialSha256", "classes", "versions", "services");
    return new ClientAccount(
        o.name("name"),
        o.sha256("credentialSha256"),
        Set.copyOf(o.strings("classes")),
        Set.copyOf(o.strings("versions")),
        Set.copyOf(o.strings("services")));
  }

  private void checkReferences(
      LocatedObject root,
      List<WorkClass> classes,
      List<ModelVersion> versions,
      List<PlainService> services) {
    for (LocatedObject account : root.objects("accounts", MAX_ITEMS)) {
      checkDefined(account, "classes", classes);
      checkDefined(account, "versions", versions);
      checkDefined(account, "services", services);
    }
  }

  private static void checkDefined(
      LocatedObject account, String field, List<? extends Named> items) {
    for (String name : account.strings(field)) {
      boolean wildcard = field.equals("versions") && name.equals("*");
      if (!wildcard && items.stream().noneMatch(i -> i.name().equals(name))) {
        account.addFinding(field, "\"" + name + "\" is not defined");
      }
    }
  }
}
