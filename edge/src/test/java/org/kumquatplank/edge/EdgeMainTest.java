package org.kumquatplank.edge;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.File;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;

class EdgeMainTest {
  private static final int EXIT_START_FAILED = 3;
  private static final long START_SECONDS = 60;

  private static String settings(int usedPort) {
    InetSocketAddress internal = EdgeFixture.freeAddress();
    return String.format(
        Locale.ROOT,
        "{\"node\":\"n\",\"ip\":\"127.0.0.1\",\"zone\":\"a\",\"region\":\"r\","
            + "\"zones\":{\"a\":\"r\"},\"seeds\":[],\"internal_port_range\":[%d,%d],"
            + "\"bounds\":{\"grace_s\":1},\"platform\":{\"address\":\"127.0.0.1:1\"},"
            + "\"listen_addresses\":{\"front\":\"127.0.0.1:%d\",\"ready\":\"127.0.0.1:%d\","
            + "\"directory\":\"127.0.0.1:%d\"}}",
        internal.getPort(),
        internal.getPort() + 1,
        EdgeFixture.freeAddress().getPort(),
        EdgeFixture.freeAddress().getPort(),
        usedPort);
  }

  /** Guards against a process that lives without its listeners, and so is never replaced. */
  @Example
  void testProcessEndsWhenAnAddressIsInUse() throws IOException, InterruptedException {
    try (ServerSocket used = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      Path file = Path.of("target", "address-in-use.json");
      Files.writeString(file, settings(used.getLocalPort()));
      String path =
          System.getProperty("surefire.test.class.path", System.getProperty("java.class.path"));
      ProcessBuilder builder =
          new ProcessBuilder(
              Path.of(System.getProperty("java.home"), "bin", "java").toString(),
              "-cp",
              path,
              "org.kumquatplank.edge.EdgeMain");
      builder.environment().put("KUMQUATPLANK_NODE_FILE", file.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(new File("target", "address-in-use.log"));
      Process process = builder.start();
      try {
        assertThat(process.waitFor(START_SECONDS, TimeUnit.SECONDS)).isTrue();
        assertThat(process.exitValue()).isEqualTo(EXIT_START_FAILED);
      } finally {
        process.destroyForcibly();
      }
    }
  }
}
