package org.kumquatplank.cli;

import com.google.gson.Gson;
import com.google.gson.GsonBuilder;
import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.kumquatplank.core.admin.ConfigResponse;
import org.kumquatplank.core.admin.PublishRequest;
import org.kumquatplank.core.admin.PublishStatus;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.ConfigCodec;
import org.kumquatplank.core.config.ConfigOp;
import org.kumquatplank.core.config.ConfigReadResult;
import org.kumquatplank.core.config.ConfigReader;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.ModelVersion;
import org.kumquatplank.core.config.PlainService;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.http.PooledHttpClient.FullResponse;
import org.kumquatplank.http.Request;

/** The commands that check, show, compare and publish the configuration. */
final class ConfigCommands {
  private static final Gson GSON = new Gson();
  private static final Gson PRETTY =
      new GsonBuilder().setPrettyPrinting().disableHtmlEscaping().create();

  private final PrintStream out;
  private final PrintStream err;

  ConfigCommands(PrintStream out, PrintStream err) {
    this.out = out;
    this.err = err;
  }

  int check(Path file) {
    ConfigReadResult result = read(file);
    result.findings().forEach(f -> err.println(file + ": " + f));
    if (result.configuration().isEmpty()) {
      return ExitStatus.USAGE;
    }
    out.println(file + ": no errors found");
    return ExitStatus.DONE;
  }

  private static ConfigReadResult read(Path file) {
    try {
      return ConfigReader.read(Files.readString(file));
    } catch (IOException e) {
      throw CommandException.usage("can't read " + file);
    }
  }

  private Optional<Configuration> readAndPrintFindings(Path file) {
    ConfigReadResult result = read(file);
    result.findings().forEach(f -> err.println(file + ": " + f));
    return result.configuration();
  }

  private static ConfigResponse fetch(AdminClient client) {
    return GSON.fromJson(
        client.exchange(Request.get("/admin/config")).body(), ConfigResponse.class);
  }

  private static Configuration toConfiguration(ConfigResponse shown) {
    return ConfigReader.read(shown.document().toString())
        .configuration()
        .map(c -> c.withVersion(shown.version()))
        .orElseThrow(
            () -> CommandException.failed("the instance returned an invalid configuration"));
  }

  int show(AdminClient client, boolean json) {
    ConfigResponse shown = fetch(client);
    if (json) {
      out.println(GSON.toJson(shown));
    } else {
      out.println("# version " + shown.version());
      out.println(PRETTY.toJson(shown.document()));
    }
    return ExitStatus.DONE;
  }

  int diff(AdminClient client, Path file) {
    Optional<Configuration> wanted = readAndPrintFindings(file);
    if (wanted.isEmpty()) {
      return ExitStatus.USAGE;
    }
    Configuration current = toConfiguration(fetch(client));
    List<ConfigOp> ops = ConfigOp.diff(current, wanted.get());
    if (ops.isEmpty()) {
      out.println("no differences from version " + current.version());
    }
    ops.forEach(op -> describe(op, current).forEach(out::println));
    return ExitStatus.DONE;
  }

  private static List<String> describe(ConfigOp op, Configuration current) {
    return switch (op) {
      case ConfigOp.Remove(ConfigOp.Kind kind, String name) ->
          List.of("- " + kind.name().toLowerCase(java.util.Locale.ROOT) + " " + name);
      case ConfigOp.Put(WorkClass c) ->
          describePut("class", c.name(), current.findClass(c.name()).orElse(null), c);
      case ConfigOp.Put(ModelVersion v) ->
          describePut("version", v.name(), current.findVersion(v.name()).orElse(null), v);
      case ConfigOp.Put(ClientAccount a) ->
          describePut("account", a.name(), current.findAccount(a.name()).orElse(null), a);
      case ConfigOp.Put(PlainService s) ->
          describePut("service", s.name(), current.findService(s.name()).orElse(null), s);
    };
  }

  private static List<String> describePut(String kind, String name, Object before, Object after) {
    if (before == null) {
      return List.of("+ " + kind + " " + name);
    }
    List<String> lines = new ArrayList<>();
    lines.add("~ " + kind + " " + name);
    var old = GSON.toJsonTree(before).getAsJsonObject();
    GSON.toJsonTree(after)
        .getAsJsonObject()
        .asMap()
        .forEach(
            (field, value) -> {
              if (!Objects.equals(old.get(field), value)) {
                lines.add("    " + field + ": " + old.get(field) + " -> " + value);
              }
            });
    return lines;
  }

  int publish(AdminClient client, Path file, String author, long waitMillis) {
    Optional<Configuration> wanted = readAndPrintFindings(file);
    if (wanted.isEmpty()) {
      return ExitStatus.USAGE;
    }
    Configuration current = toConfiguration(fetch(client));
    return publish(client, current, ConfigOp.diff(current, wanted.get()), author, waitMillis);
  }

  int setStage(
      AdminClient client,
      String version,
      ModelVersion.Stage stage,
      String author,
      long waitMillis) {
    Configuration current = toConfiguration(fetch(client));
    ModelVersion modelVersion =
        current
            .findVersion(version)
            .orElseThrow(() -> CommandException.failed("unknown model version: " + version));
    List<ConfigOp> ops =
        modelVersion.stage() == stage
            ? List.of()
            : List.of(new ConfigOp.Put(modelVersion.withStage(stage)));
    return publish(client, current, ops, author, waitMillis);
  }

  private int publish(
      AdminClient client,
      Configuration current,
      List<ConfigOp> ops,
      String author,
      long waitMillis) {
    if (ops.isEmpty()) {
      out.println("no changes to publish; current version is " + current.version());
      return ExitStatus.DONE;
    }
    JsonElement changes = JsonParser.parseString(ConfigCodec.opsToJson(ops));
    String body = GSON.toJson(new PublishRequest(current.version(), author, changes));
    FullResponse reply = client.exchange(Request.post("/admin/config?wait_ms=" + waitMillis, body));
    return report(GSON.fromJson(reply.body(), PublishStatus.class));
  }

  private int report(PublishStatus status) {
    status.confirmed().forEach(i -> out.println("in force at " + i));
    status.missing().forEach(i -> err.println("not confirmed by " + i));
    if (status.in_force()) {
      out.println("version " + status.version() + " is in force on all instances");
      return ExitStatus.DONE;
    }
    err.println("version " + status.version() + " is logged but not in force on all instances");
    return ExitStatus.PENDING;
  }
}
