import java.io.IOException;
import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.concurrent.atomic.AtomicInteger;

/** Clients that ask for "Connection: close" read large answers slowly; others want answers. */
final class Case11 {
  private static final int READERS = 24;
  private static final int ANSWER_BYTES = 4 * 1024 * 1024;
  private static final int ORDINARY = 12;

  private Case11() {}

  public static void main(String[] arguments) {
    Rig.run(arguments, Case11::run);
  }

  private static boolean run(Rig rig) throws Exception {
    Store store = rig.add(new Store());
    byte[] large = new byte[ANSWER_BYTES];
    Arrays.fill(large, (byte) 'x');
    AtomicInteger ran = new AtomicInteger();
    Backend archive =
        rig.add(
            new Backend(
                "i-archive",
                "archive",
                "v1",
                6,
                (self, request, out) -> {
                  ran.incrementAndGet();
                  self.head(out, request, 200, "", large.length);
                  out.write(large);
                  out.flush();
                  return true;
                }));
    Backend desk = rig.desk("i-desk", "desk");
    store.put("servers", archive.id, archive.entry("ready"));
    store.put("servers", desk.id, desk.entry("ready"));
    store.put(
        "op",
        "config",
        Rig.config(
            1,
            Rig.route("desk", "safe", "desk", Rig.TIMEOUT_MILLIS, "")
                + ","
                + Rig.route("archive", "safe", "archive", 20_000, ""),
            Rig.plainService("desk") + "," + Rig.plainService("archive"),
            4 * 1024 * 1024,
            ""));
    Instance instance = rig.instance("front-a-1", store);
    Ordinary ordinary = rig.add(new Ordinary(rig, instance.callerPort(), "/desk/x"));
    ordinary.start(ORDINARY);
    Rig.sleep(6_000);
    rig.record("calm: " + ordinary.summary());

    AtomicInteger bytesRead = new AtomicInteger();
    AtomicInteger complete = new AtomicInteger();
    for (int i = 0; i < READERS; i++) {
      Socket socket = rig.add(new Socket());
      socket.setReceiveBufferSize(rig.trouble ? 4_096 : 1 << 20);
      try {
        socket.connect(new InetSocketAddress("127.0.0.1", instance.callerPort()), 3_000);
      } catch (IOException e) {
        rig.record("no channel for client " + i + ": " + e.getMessage());
        break;
      }
      String request =
          "GET /archive/"
              + i
              + " HTTP/1.1\r\nHost: h.example\r\nX-Attempt-Id: a"
              + i
              + "\r\nX-Deadline-Ms: 20000\r\nConnection: close\r\n\r\n";
      try {
        socket.getOutputStream().write(request.getBytes(StandardCharsets.US_ASCII));
      } catch (IOException e) {
        rig.record("no request of client " + i + ": " + e.getMessage());
        break;
      }
      Thread.ofPlatform()
          .daemon()
          .start(() -> read(socket, rig.trouble, bytesRead, complete));
      Rig.sleep(50);
    }
    rig.record("the clients have asked for " + ANSWER_BYTES + " bytes each");
    for (int i = 0; i < 5; i++) {
      Rig.sleep(4_000);
      rig.record(
          "large answers: run " + ran + ", whole at the client " + complete + "; " + bytesRead
              + " bytes read; the process lives: " + instance.isAlive());
      rig.record(ordinary.summary());
    }
    rig.record(
        "lines of the process with OutOfMemoryError: "
            + instance.log().lines().filter(l -> l.contains("OutOfMemoryError")).count());
    boolean ended = !instance.isAlive();
    if (ended) {
      rig.record("the process has ended by itself; what it cut counts as unanswered");
    }
    int open = ordinary.overdue() + (ended ? ordinary.cut() : 0);
    int unanswered = ordinary.unanswered() + (ended ? ordinary.cut() : 0);
    rig.record(
        "ordinary requests without an answer at the timeout " + open + ", half a second later "
            + unanswered);
    return open < 8 || 2 * unanswered <= open;
  }

  private static void read(
      Socket socket, boolean slowly, AtomicInteger bytesRead, AtomicInteger complete) {
    byte[] buffer = new byte[slowly ? 2_048 : 65_536];
    try {
      InputStream in = socket.getInputStream();
      int total = 0;
      while (true) {
        int count = in.read(buffer);
        if (count < 0) {
          break;
        }
        total += count;
        bytesRead.addAndGet(count);
        if (slowly) {
          Thread.sleep(500);
        }
      }
      if (total > ANSWER_BYTES) {
        complete.incrementAndGet();
      }
    } catch (IOException | InterruptedException e) {
      // Closed by the instance, or the case ends.
    }
  }
}
