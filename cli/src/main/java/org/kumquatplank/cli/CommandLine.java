package org.kumquatplank.cli;

import java.util.List;
import java.util.Map;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.Subparser;
import net.sourceforge.argparse4j.inf.Subparsers;

/** The commands of the tool and their flags. */
final class CommandLine {
  /** Name under which the chosen command is found. */
  static final String COMMAND = "chosen_command";

  private static final long DEFAULT_WAIT_MILLIS = 10_000;

  private CommandLine() {}

  static ArgumentParser parser(Map<String, String> environment) {
    ArgumentParser parser =
        ArgumentParsers.newFor("kumquatplank")
            .build()
            .version("kumquatplank 0.1.0")
            .description("Operators' tool of the model-aware router.")
            .epilog(
                "Exit status: 0 done, 1 refused or failed, 2 faulty flags or file, 3 logged but"
                    + " not in force everywhere in time. Example: kumquatplank config publish"
                    + " first.json");
    parser.addArgument("--version").action(Arguments.version()).help("print the version and exit");
    parser
        .addArgument("--admin")
        .setDefault(environment.getOrDefault("KUMQUATPLANK_ADMIN", "127.0.0.1:7200"))
        .metavar("ADDRESS:PORT[,...]")
        .help("administration listeners, tried in order (variable KUMQUATPLANK_ADMIN)");
    parser
        .addArgument("--admin-token-file")
        .setDefault(environment.getOrDefault("KUMQUATPLANK_ADMIN_TOKEN_FILE", ""))
        .metavar("PATH")
        .help(
            "file with the operators' credential (variable KUMQUATPLANK_ADMIN_TOKEN_FILE; the"
                + " credential itself may stand in KUMQUATPLANK_ADMIN_TOKEN)");
    parser
        .addArgument("--entry")
        .setDefault(environment.getOrDefault("KUMQUATPLANK_ENTRY", "127.0.0.1:7100"))
        .metavar("ADDRESS:PORT")
        .help("a callers' listener (variable KUMQUATPLANK_ENTRY)");
    Subparsers commands = parser.addSubparsers().title("commands").metavar("COMMAND");
    addConfig(commands);
    addVersions(commands);
    addInspection(commands);
    return parser;
  }

  private static Subparser add(Subparsers commands, String word, String name, String help) {
    return commands.addParser(word).help(help).description(help).setDefault(COMMAND, name);
  }

  private static void addConfig(Subparsers commands) {
    Subparsers config =
        commands
            .addParser("config")
            .help("check, compare, publish or show the configuration")
            .addSubparsers()
            .metavar("ACTION");
    file(add(config, "check", "config check", "report every fault of a file with its place"));
    json(add(config, "show", "config show", "print the configuration in force"));
    file(add(config, "diff", "config diff", "print what publishing a file would change"));
    Subparser publish =
        add(config, "publish", "config publish", "publish a file and wait until it is in force");
    file(publish);
    publication(publish);
  }

  private static void addVersions(Subparsers commands) {
    Subparser rollout =
        add(commands, "rollout", "rollout", "let a version take work on its evidence");
    rollout.addArgument("model_version").metavar("VERSION").help("name of the version");
    rollout
        .addArgument("--trial")
        .action(Arguments.storeTrue())
        .help("only a bounded number of requests until its quality is known");
    publication(rollout);
    Subparser withdraw = add(commands, "withdraw", "withdraw", "give a version no new work");
    withdraw.addArgument("model_version").metavar("VERSION").help("name of the version");
    publication(withdraw);
  }

  private static void addInspection(Subparsers commands) {
    json(add(commands, "status", "status", "print what an instance knows of the system"));
    Subparser addresses =
        add(commands, "addresses", "addresses", "print the addresses that callers should use");
    addresses.addArgument("--region").setDefault("").help("region of the caller");
    json(addresses);
    Subparser send =
        add(
            commands,
            "send",
            "send",
            "send one request; the client account's credential stands in KUMQUATPLANK_API_KEY");
    send.addArgument("class").help("class of work");
    send.addArgument("text").help("the prompt");
    Subparser explain =
        add(commands, "explain", "explain", "print why a request was decided as it was");
    explain.addArgument("request").help("request id, from the header Request-Id");
    explain
        .addArgument("--logs")
        .nargs("+")
        .setDefault(List.of())
        .metavar("FILE")
        .help("tell it from these log files of all instances instead; - reads standard input");
    add(commands, "metrics", "metrics", "print the metrics of an instance");
    add(commands, "drain", "drain", "shut the instance at --admin down gracefully");
    Subparsers log =
        commands.addParser("log").help("look at the log").addSubparsers().metavar("ACTION");
    Subparser tail = add(log, "tail", "log tail", "print the records of a stream");
    tail.addArgument("--stream").setDefault("config").help("name of the stream; default config");
    tail.addArgument("--from").type(Long.class).setDefault(0L).help("first offset; default 0");
  }

  private static void file(Subparser command) {
    command.addArgument("file").metavar("FILE").help("configuration file");
  }

  private static void json(Subparser command) {
    command.addArgument("--json").action(Arguments.storeTrue()).help("print JSON");
  }

  private static void publication(Subparser command) {
    command
        .addArgument("--author")
        .setDefault(System.getProperty("user.name", "operator"))
        .help("who publishes");
    command
        .addArgument("--wait-ms")
        .type(Long.class)
        .setDefault(DEFAULT_WAIT_MILLIS)
        .metavar("MILLIS")
        .help("longest wait until it is in force everywhere; default " + DEFAULT_WAIT_MILLIS);
  }
}
