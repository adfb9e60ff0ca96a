import java.io.BufferedInputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

/** Stand-in for a replica: answers each request as its script says, and keeps its channels open. */
final class Backend implements AutoCloseable {
  final String id;
  private final String service;
  private final String version;
  private final int slots;
  private final long born = System.currentTimeMillis();
  private final ServerSocket listener;
  private final Set<Socket> sockets = ConcurrentHashMap.newKeySet();
  private final Script script;

  /** A request as it arrived. */
  record Arrived(String method, String path, Map<String, String> headers, byte[] body) {
    String header(String name) {
      return headers.getOrDefault(name, "");
    }
  }

  /** Answers a request; returns whether the channel stays open. */
  interface Script {
    boolean answer(Backend self, Arrived request, OutputStream out) throws Exception;
  }

  Backend(String id, String service, String version, int slots, Script script) throws IOException {
    this.id = id;
    this.service = service;
    this.version = version;
    this.slots = slots;
    this.script = script;
    listener = new ServerSocket(0, 1024, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  String entry(String state) {
    return String.format(
        Locale.ROOT,
        "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\",\"zone\":\"a\",\"version\":\"%s\","
            + "\"slots\":%d,\"state\":\"%s\",\"cold_remaining_ms\":0,\"sequence\":0,\"born\":%d}",
        service,
        listener.getLocalPort(),
        version,
        slots,
        state,
        born);
  }

  private void accept() {
    try {
      while (true) {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        sockets.add(socket);
        Thread.ofVirtual().start(() -> serve(socket));
      }
    } catch (IOException e) {
      // Closed.
    }
  }

  private void serve(Socket socket) {
    try {
      InputStream in = new BufferedInputStream(socket.getInputStream());
      while (true) {
        Arrived request = read(in);
        if (!request.header("x-target-replica").equals(id)) {
          write(
              socket.getOutputStream(),
              "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: "
                  + request.header("x-attempt-id")
                  + "\r\nX-Replica-Id: "
                  + id
                  + "\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
        } else if (!script.answer(this, request, socket.getOutputStream())) {
          return;
        }
      }
    } catch (ResetException e) {
      end(socket, true);
    } catch (Exception e) {
      // The channel was closed.
    } finally {
      end(socket, false);
    }
  }

  private void end(Socket socket, boolean reset) {
    sockets.remove(socket);
    try {
      if (reset) {
        socket.setSoLinger(true, 0);
      }
      socket.close();
    } catch (IOException e) {
      // It is closed already.
    }
  }

  /** Thrown by a script to reset the channel. */
  static final class ResetException extends Exception {
    private static final long serialVersionUID = 1;
  }

  private static Arrived read(InputStream in) throws IOException {
    String[] line = line(in).split(" ");
    Map<String, String> headers = new LinkedHashMap<>();
    for (String header = line(in); !header.isEmpty(); header = line(in)) {
      int colon = header.indexOf(':');
      headers.put(
          header.substring(0, colon).toLowerCase(Locale.ROOT), header.substring(colon + 1).trim());
    }
    byte[] body = in.readNBytes(Integer.parseInt(headers.getOrDefault("content-length", "0")));
    return new Arrived(line[0], line[1], headers, body);
  }

  private static String line(InputStream in) throws IOException {
    StringBuilder text = new StringBuilder();
    for (int c = in.read(); c != '\n'; c = in.read()) {
      if (c < 0) {
        throw new EOFException();
      }
      if (c != '\r') {
        text.append((char) c);
      }
    }
    return text.toString();
  }

  static void write(OutputStream out, String text) throws IOException {
    out.write(text.getBytes(StandardCharsets.ISO_8859_1));
    out.flush();
  }

  /** Writes the head of an answer of this replica, with a length and more header lines. */
  void head(OutputStream out, Arrived request, int status, String headers, int length)
      throws IOException {
    write(
        out,
        "HTTP/1.1 "
            + status
            + " S\r\nX-Attempt-Id: "
            + request.header("x-attempt-id")
            + "\r\nX-Response-Seal: seal."
            + id
            + "\r\n"
            + headers
            + "Content-Length: "
            + length
            + "\r\n\r\n");
  }

  /** Ends the process: nothing listens any more, and all channels are reset. */
  @Override
  public void close() throws IOException {
    listener.close();
    for (Socket socket : List.copyOf(sockets)) {
      end(socket, true);
    }
  }
}
