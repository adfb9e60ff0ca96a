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

/**
 * Entry point of {@code bin/bench}.
 *
 * <p>Exit status: 0 if all bounds hold, 1 if a bound is missed, 2 on a usage error.
 */
public final class Main {
  private static final int EXIT_BOUND_MISSED = 1;
  private static final int EXIT_USAGE = 2;

  private Main() {}

  /** Runs the selected benchmark and prints one line per figure. */
  public static void main(String[] args) throws IOException {
    ArgumentParser parser = ArgumentParsers.newFor("bench").build();
    parser.addArgument("--quick").action(Arguments.storeTrue()).help("run shorter simulations");
    parser
        .addArgument("--capacity")
        .action(Arguments.storeTrue())
        .help("measure growth of memory, CPU time and record sizes instead of simulating");
    parser
        .addArgument("--seed")
        .type(Long.class)
        .setDefault(RoutingBenchmark.DEFAULT_SEED)
        .help("seed of the random number generators; default " + RoutingBenchmark.DEFAULT_SEED);
    parser.addArgument("--out").help("file to write the lines to, in addition to standard output");
    Namespace options;
    try {
      options = parser.parseArgs(args);
    } catch (ArgumentParserException e) {
      parser.handleError(e);
      System.exit(EXIT_USAGE);
      return;
    }
    if (options.getBoolean("capacity")) {
      new CapacityBenchmark().run().forEach(System.out::println);
      return;
    }
    List<Figure> figures =
        new RoutingBenchmark(options.getBoolean("quick"), options.getLong("seed")).run();
    figures.forEach(System.out::println);
    String out = options.getString("out");
    if (out != null) {
      Files.write(Path.of(out), figures.stream().map(Figure::toString).toList());
    }
    System.exit(figures.stream().anyMatch(Figure::fails) ? EXIT_BOUND_MISSED : 0);
  }
}
