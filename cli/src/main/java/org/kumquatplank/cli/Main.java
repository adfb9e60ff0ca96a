package org.kumquatplank.cli;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;
import org.kumquatplank.core.config.ModelVersion.Stage;

/**
 * The entry point of the command-line tool {@code kumquatplank}.
 *
 * <p>Exit status: 0 success, 1 rejected or failed, 2 invalid flags or file, 3 logged but not in
 * force on all instances before the timeout.
 */
public final class Main {
  private static final String API_KEY = "KUMQUATPLANK_API_KEY";
  private static final String ADMIN_TOKEN = "KUMQUATPLANK_ADMIN_TOKEN";

  private final Namespace args;
  private final Map<String, String> environment;

  private Main(Namespace args, Map<String, String> environment) {
    this.args = args;
    this.environment = environment;
  }

  /** Runs a command and exits with its status. */
  public static void main(String[] arguments) {
    var parser = CommandLine.parser(System.getenv());
    try {
      Namespace args = parser.parseArgs(arguments);
      System.exit(new Main(args, System.getenv()).run());
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      boolean helpRequested = e instanceof net.sourceforge.argparse4j.helper.HelpScreenException;
      System.exit(helpRequested ? ExitStatus.DONE : ExitStatus.USAGE);
    } catch (CommandException e) {
      System.err.println("kumquatplank: " + e.getMessage());
      System.exit(e.status());
    }
  }

  private int run() {
    ConfigCommands config = new ConfigCommands(System.out, System.err);
    InspectCommands inspect = new InspectCommands(System.out);
    return switch (args.getString(CommandLine.COMMAND)) {
      case "config check" -> config.check(file());
      case "config show" -> config.show(client(), json());
      case "config diff" -> config.diff(client(), file());
      case "config publish" -> config.publish(client(), file(), author(), waitMillis());
      case "rollout" ->
          config.setStage(client(), version(), rolloutStage(), author(), waitMillis());
      case "withdraw" ->
          config.setStage(client(), version(), Stage.WITHDRAWN, author(), waitMillis());
      case "status" -> inspect.status(client(), json());
      case "addresses" -> inspect.addresses(entry(), args.getString("region"), json());
      case "send" ->
          inspect.send(entry(), secret(API_KEY), args.getString("class"), args.getString("text"));
      case "explain" -> explain(inspect, args.getList("logs"));
      case "metrics" -> inspect.metrics(client());
      case "drain" -> inspect.drain(client());
      case "log tail" -> inspect.logTail(client(), args.getString("stream"), args.getLong("from"));
      default -> throw CommandException.usage("unknown command");
    };
  }

  private int explain(InspectCommands inspect, List<String> logs) {
    String request = args.getString("request");
    return logs.isEmpty() ? inspect.explain(client(), request) : inspect.explain(logs, request);
  }

  private Path file() {
    return Path.of(args.getString("file"));
  }

  private boolean json() {
    return args.getBoolean("json");
  }

  private String author() {
    return args.getString("author");
  }

  private long waitMillis() {
    return args.getLong("wait_ms");
  }

  private String version() {
    return args.getString("model_version");
  }

  private Stage rolloutStage() {
    return args.getBoolean("trial") ? Stage.TRIAL : Stage.LIVE;
  }

  private String entry() {
    return args.getString("entry");
  }

  private AdminClient client() {
    List<String> endpoints = List.of(args.getString("admin").split(",", -1));
    return new AdminClient(endpoints, adminToken());
  }

  private String adminToken() {
    String path = args.getString("admin_token_file");
    if (path.isEmpty()) {
      return secret(ADMIN_TOKEN);
    }
    try {
      return Files.readString(Path.of(path)).strip();
    } catch (IOException e) {
      throw CommandException.usage("can't read " + path);
    }
  }

  private String secret(String variable) {
    String value = environment.getOrDefault(variable, "");
    if (value.isEmpty()) {
      throw CommandException.usage("the environment variable " + variable + " is not set");
    }
    return value;
  }
}
