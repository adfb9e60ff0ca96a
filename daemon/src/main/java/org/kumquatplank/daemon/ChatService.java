package org.kumquatplank.daemon;

import java.io.IOException;
import java.util.Optional;
import java.util.function.Supplier;
import org.kumquatplank.core.claims.Fingerprint;
import org.kumquatplank.core.config.ClientAccount;
import org.kumquatplank.core.config.Configuration;
import org.kumquatplank.core.config.WorkClass;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.core.error.RouterException;
import org.kumquatplank.core.routing.RoutingRequest;
import org.kumquatplank.http.Headers;
import org.kumquatplank.http.Reply;
import org.kumquatplank.http.Request;

/** Serves chat requests. Thread-safe. */
final class ChatService {
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int OK = 200;

  private final ChatParts parts;
  private final SessionTokens sessions;
  private final Supplier<String> ids;

  ChatService(ChatParts parts, SessionTokens sessions, Supplier<String> ids) {
    this.parts = parts;
    this.sessions = sessions;
    this.ids = ids;
  }

  Reply handle(ClientAccount account, Request httpRequest) {
    Configuration configuration = parts.serving().gate().freshConfiguration();
    ChatRequest question = ChatRequest.parse(httpRequest.body());
    WorkClass workClass = allowedClass(configuration, account, question.model());
    Optional<String> token = httpRequest.headers().first("Session-Token");
    Optional<String> pinned = pinnedVersion(token, account, workClass);
    boolean withdrawn = pinned.isPresent() && !configuration.permits(account.name(), pinned.get());
    String id = ids.get();
    RoutingRequest request =
        new RoutingRequest(
            id,
            account.name(),
            workClass,
            question.promptTokens(),
            withdrawn ? Optional.empty() : pinned,
            token.isPresent(),
            parts.serving().clock().micros());
    ChatRun run = new ChatRun(parts, request, question, billId(account, httpRequest, id));
    run.begin();
    Headers headers = Headers.none().with("Request-Id", id);
    if (withdrawn) {
      headers = headers.with("Session-Version-Withdrawn", pinned.get());
    }
    return question.streamed() ? streamed(run, headers) : whole(run, headers);
  }

  private static WorkClass allowedClass(
      Configuration configuration, ClientAccount account, String name) {
    WorkClass workClass =
        configuration
            .findClass(name)
            .orElseThrow(
                () ->
                    RouterException.notRun(
                        ErrorCode.UNKNOWN_CLASS, "there is no class of that name"));
    if (!account.classes().contains(name)) {
      throw RouterException.notRun(
          ErrorCode.CLASS_NOT_ALLOWED, "the account may not use this class");
    }
    return workClass;
  }

  private Optional<String> pinnedVersion(
      Optional<String> token, ClientAccount account, WorkClass workClass) {
    if (token.isEmpty() || token.get().equals(SessionTokens.NEW)) {
      return Optional.empty();
    }
    Optional<String> version = sessions.version(token.get(), account.name(), workClass.name());
    if (version.isEmpty()) {
      throw RouterException.notRun(
          ErrorCode.MALFORMED_REQUEST, "the session token is not valid for this account and class");
    }
    return version;
  }

  /** A resubmission under the same key has the same bill. */
  private static String billId(ClientAccount account, Request httpRequest, String id) {
    return httpRequest
        .headers()
        .first("Idempotency-Key")
        .map(key -> "k-" + Fingerprint.sha256(account.name() + "\n" + key))
        .orElse(id);
  }

  private Headers withVersion(Headers headers, Optional<String> version, ChatRun run) {
    Headers all = headers;
    if (version.isPresent()) {
      all = all.with("Model-Version", version.get());
    }
    if (run.sessionVersion().isPresent()) {
      RoutingRequest request = run.request();
      String token =
          sessions.issue(request.account(), request.workClass().name(), run.sessionVersion().get());
      all = all.with("Session-Token", token);
    }
    return all;
  }

  private Reply whole(ChatRun run, Headers headers) {
    StringBuilder text = new StringBuilder();
    run.serve(
        new TextSink() {
          @Override
          public void version(String version) {}

          @Override
          public void text(String piece) {
            text.append(piece);
          }
        },
        until -> {});
    String body = ChatAnswers.whole(run.request().id(), run.version(), text.toString(), run.usage());
    return new Reply.Whole(
        OK, withVersion(headers, Optional.of(run.version()), run), Reply.JSON, body);
  }

  private Reply streamed(ChatRun run, Headers headers) {
    return new Reply.Streamed(
        OK,
        withVersion(headers, run.decidedVersion(), run),
        EVENT_STREAM,
        sink -> stream(run, sink));
  }

  private static void stream(ChatRun run, Reply.StreamSink sink) throws IOException {
    String id = run.request().id();
    TextSink texts =
        new TextSink() {
          @Override
          public void version(String version) {}

          @Override
          public void text(String piece) throws IOException {
            sink.write(ChatAnswers.piece(id, run.version(), piece));
          }
        };
    try {
      run.serve(texts, until -> sink.write(ChatAnswers.delay(until)));
      sink.write(ChatAnswers.end(id, run.version(), run.usage()));
    } catch (RouterException e) {
      sink.write(ChatAnswers.error(e));
    }
  }
}
