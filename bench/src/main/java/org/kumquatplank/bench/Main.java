package org.kumquatplank.bench;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import net.sourceforge.argparse4j.ArgumentParsers;
import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.ArgumentParser;
import net.sourceforge.argparse4j.inf.ArgumentParserException;
import net.sourceforge.argparse4j.inf.Namespace;

/** The program {@code bin/bench}. Exit status: 0 all bounds hold, 1 one is missed, 2 usage. */
public final class Main {
  private static final int EXIT_MISSED = 1;
  private static final int EXIT_USAGE = 2;

  private Main() {}

  /** Runs the experiments and prints a line a figure. */
  public static void main(String[] args) throws IOException {
    ArgumentParser parser = ArgumentParsers.newFor("bench").build();
    parser.addArgument("--quick").action(Arguments.storeTrue()).help("shorter experiments");
    parser
        .addArgument("--capacity")
        .action(Arguments.storeTrue())
        .help("measure how state, time and bytes grow instead");
    parser
        .addArgument("--seed")
        .type(Long.class)
        .setDefault(Measures.DEFAULT_SEED)
        .help("seed of all randomness; default " + Measures.DEFAULT_SEED);
    parser.addArgument("--out").help("file that takes the lines too");
    Namespace options;
    try {
      options = parser.parseArgs(args);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(EXIT_USAGE);
      return;
    }
    if (options.getBoolean("capacity")) {
      new Capacity().all().forEach(System.out::println);
      return;
    }
    List<Figure> lines = new Measures(options.getBoolean("quick"), options.getLong("seed")).all();
    lines.forEach(System.out::println);
    String out = options.getString("out");
    if (out != null) {
      Files.write(Path.of(out), lines.stream().map(Figure::toString).toList());
    }
    System.exit(lines.stream().anyMatch(Figure::fails) ? EXIT_MISSED : 0);
  }
}
