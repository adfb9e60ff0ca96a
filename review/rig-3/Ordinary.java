import java.io.IOException;
import java.util.ArrayList;
import java.util.List;

/**
 * Ordinary clients, each with a channel that it keeps for its requests, one after the other.
 *
 * <p>Only requests on channels that have carried an answer before are judged: the process has
 * accepted these.
 */
final class Ordinary implements AutoCloseable {
  private static final int SLACK_MILLIS = 500;

  private final Rig rig;
  private final int port;
  private final String path;
  private final List<Thread> threads = new ArrayList<>();
  private volatile boolean stopped;
  private int sent;
  private int answered;
  private int served;
  private int overdue;
  private int unanswered;
  private int cut;

  Ordinary(Rig rig, int port, String path) {
    this.rig = rig;
    this.port = port;
    this.path = path;
  }

  void start(int clients) {
    for (int i = 0; i < clients; i++) {
      String name = "o" + i;
      threads.add(Thread.ofPlatform().daemon().start(() -> run(name)));
    }
  }

  private void run(String name) {
    Client client = null;
    boolean judged = false;
    for (int i = 0; !stopped; i++) {
      String id = name + "-" + i;
      long sentAt = System.nanoTime();
      try {
        if (client == null) {
          client = new Client(port);
          judged = false;
        }
        client.socket.setSoTimeout((int) Rig.TIMEOUT_MILLIS + SLACK_MILLIS);
        if (judged) {
          onSend();
        }
        client.send("GET " + path, id, Rig.TIMEOUT_MILLIS, "", Rig.NOTHING);
        Client.Answer answer = client.read(false);
        long millis = (System.nanoTime() - sentAt) / 1_000_000;
        if (judged) {
          onAnswer(answer, millis);
        }
        if (millis > 1_000 || answer.status() != 200) {
          rig.record("request " + id + " answered " + answer.status() + " after " + millis + " ms");
        }
        judged = true;
        if (answer.header("connection").equalsIgnoreCase("close")) {
          client.close();
          client = null;
        }
        Thread.sleep(250);
      } catch (IOException e) {
        long millis = (System.nanoTime() - sentAt) / 1_000_000;
        if (!stopped) {
          String kind = judged ? "on a kept channel" : "on a new channel";
          rig.record("request " + id + " " + kind + ": " + e + " after " + millis + " ms");
          if (judged) {
            onNothing(millis);
          }
        }
        try {
          if (client != null) {
            client.close();
          }
          Thread.sleep(250);
        } catch (IOException | InterruptedException ignored) {
          return;
        }
        client = null;
        judged = false;
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private synchronized void onSend() {
    sent++;
  }

  private synchronized void onAnswer(Client.Answer answer, long millis) {
    answered++;
    served += answer.status() == 200 ? 1 : 0;
    overdue += millis > Rig.TIMEOUT_MILLIS ? 1 : 0;
  }

  private synchronized void onNothing(long millis) {
    if (millis > Rig.TIMEOUT_MILLIS) {
      overdue++;
      unanswered++;
    } else {
      cut++;
    }
  }

  /** Requests that were still open at the timeout of the route. */
  synchronized int overdue() {
    return overdue;
  }

  /** Those of them that had no answer half a second later. */
  synchronized int unanswered() {
    return unanswered;
  }

  /** Requests whose channel ended without an answer before the timeout. */
  synchronized int cut() {
    return cut;
  }

  synchronized String summary() {
    return String.format(
        "ordinary requests on kept channels: sent %d, answered %d, served %d, open at the timeout"
            + " %d, without an answer 0.5 s later %d, cut earlier %d",
        sent, answered, served, overdue, unanswered, cut);
  }

  @Override
  public void close() throws InterruptedException {
    stopped = true;
    for (Thread thread : threads) {
      thread.interrupt();
    }
  }
}
