package org.kumquatplank.cli;

import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The command line of the tool: its commands, arguments and flags. */
final class CommandLine {
  /** Key of the selected command in the parsed arguments. */
  static final String COMMAND = "chosen_command";

  private static final long DEFAULT_WAIT_MILLIS = 10_000;

  private CommandLine() {}

  static ArgumentParser parser(Map<String, String> environment) {
    ArgumentParser parser =
        ArgumentParsers.newFor("kumquatplank")
            .build()
            .version("kumquatplank 0.1.0")
            .description("Command-line tool for operators of the model-aware request router.")
            .epilog(
                "Exit status: 0 success, 1 rejected or failed, 2 invalid flags or file, 3 logged"
                    + " but not in force on all instances before the timeout. Example: kumquatplank"
                    + " config publish first.json");
    parser.addArgument("--version").action(Arguments.version()).help("print the version and exit");
    parser
        .addArgument("--admin")
        .setDefault(environment.getOrDefault("KUMQUATPLANK_ADMIN", "127.0.0.1:7200"))
        .metavar("ADDRESS:PORT[,...]")
        .help("administration listeners, tried in order (environment variable KUMQUATPLANK_ADMIN)");
    parser
        .addArgument("--admin-token-file")
        .setDefault(environment.getOrDefault("KUMQUATPLANK_ADMIN_TOKEN_FILE", ""))
        .metavar("PATH")
        .help(
            "file with the operator credential (environment variable KUMQUATPLANK_ADMIN_TOKEN_FILE;"
                + " KUMQUATPLANK_ADMIN_TOKEN can hold the credential itself)");
    parser
        .addArgument("--entry")
        .setDefault(environment.getOrDefault("KUMQUATPLANK_ENTRY", "127.0.0.1:7100"))
        .metavar("ADDRESS:PORT")
        .help("listener for callers (environment variable KUMQUATPLANK_ENTRY)");
    Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
    addConfig(commands);
    addVersions(commands);
    addInspection(commands);
    return parser;
  }

  private static Subparser addCommand(
      Subparsers commands, String commandWord, String name, String help) {
    return commands.addParser(commandWord).help(help).description(help).setDefault(COMMAND, name);
  }

  private static void addConfig(Subparsers commands) {
    Subparsers config =
        commands
            .addParser("config")
            .help("check, compare, publish or show the configuration")
            .addSubparsers()
            .metavar("ACTION");
    addFileArgument(
        addCommand(
            config, "check", "config check", "report all errors in a file with their locations"));
    addJsonFlag(addCommand(config, "show", "config show", "print the configuration in force"));
    addFileArgument(
        addCommand(
            config, "diff", "config diff", "print the changes that publishing a file would make"));
    Subparser publish =
        addCommand(
            config,
            "publish",
            "config publish",
            "publish a file and wait until it is in force on all instances");
    addFileArgument(publish);
    addPublishFlags(publish);
  }

  private static void addVersions(Subparsers commands) {
    Subparser rollout =
        addCommand(
            commands,
            "rollout",
            "rollout",
            "let a model version receive requests according to its measured quality");
    rollout.addArgument("model_version").metavar("VERSION").help("name of the model version");
    rollout
        .addArgument("--trial")
        .action(Arguments.storeTrue())
        .help("limit its number of requests until its quality is known");
    addPublishFlags(rollout);
    Subparser withdraw =
        addCommand(
            commands, "withdraw", "withdraw", "stop sending new requests to a model version");
    withdraw.addArgument("model_version").metavar("VERSION").help("name of the model version");
    addPublishFlags(withdraw);
  }

  private static void addInspection(Subparsers commands) {
    addJsonFlag(
        addCommand(
            commands, "status", "status", "print the state of the system as seen by one instance"));
    Subparser addresses =
        addCommand(
            commands, "addresses", "addresses", "print the addresses that callers should use");
    addresses.addArgument("--region").setDefault("").help("region of the caller");
    addJsonFlag(addresses);
    Subparser send =
        addCommand(
            commands,
            "send",
            "send",
            "send one request with the client account's credential in KUMQUATPLANK_API_KEY");
    send.addArgument("class").help("class of work");
    send.addArgument("text").help("the prompt");
    Subparser explain =
        addCommand(
            commands,
            "explain",
            "explain",
            "print the routing decision for a request and its reasons");
    explain.addArgument("request").help("request id, from the response header Request-Id");
    explain
        .addArgument("--logs")
        .nargs("+")
        .setDefault(List.of())
        .metavar("FILE")
        .help(
            "print the request's timeline from these log files of all instances instead; - reads"
                + " standard input");
    addCommand(commands, "metrics", "metrics", "print the metrics of an instance");
    addCommand(commands, "drain", "drain", "shut the instance at --admin down gracefully");
    Subparsers log =
        commands.addParser("log").help("read the log").addSubparsers().metavar("ACTION");
    Subparser tail = addCommand(log, "tail", "log tail", "print the records of a stream");
    tail.addArgument("--stream").setDefault("config").help("name of the stream (default: config)");
    tail.addArgument("--from").type(Long.class).setDefault(0L).help("first offset (default: 0)");
  }

  private static void addFileArgument(Subparser command) {
    command.addArgument("file").metavar("FILE").help("configuration file");
  }

  private static void addJsonFlag(Subparser command) {
    command.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
  }

  private static void addPublishFlags(Subparser command) {
    command
        .addArgument("--author")
        .setDefault(System.getProperty("user.name", "operator"))
        .help("author of the change");
    command
        .addArgument("--wait-ms")
        .type(Long.class)
        .setDefault(DEFAULT_WAIT_MILLIS)
        .metavar("MILLIS")
        .help("time to wait until it is in force on all instances; default " + DEFAULT_WAIT_MILLIS);
  }
}
