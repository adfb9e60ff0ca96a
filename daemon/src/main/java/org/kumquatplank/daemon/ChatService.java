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
import org.kumquatplank.http.Request;
import org.kumquatplank.http.Response;

/** Handles chat requests. Thread-safe. */
final class ChatService {
  private static final String EVENT_STREAM = "text/event-stream";
  private static final int OK = 200;

  private final ChatDependencies dependencies;
  private final SessionTokens sessions;
  private final Supplier<String> requestIds;

  ChatService(ChatDependencies dependencies, SessionTokens sessions, Supplier<String> requestIds) {
    this.dependencies = dependencies;
    this.sessions = sessions;
    this.requestIds = requestIds;
  }

  Response handle(ClientAccount account, Request httpRequest) {
    Configuration configuration = dependencies.router().gate().requireFreshConfiguration();
    ChatRequest chatRequest = ChatRequest.parse(httpRequest.body());
    WorkClass workClass = requireAllowedClass(configuration, account, chatRequest.model());
    Optional<String> token = httpRequest.headers().first("Session-Token");
    Optional<String> pinnedVersion = pinnedVersion(token, account, workClass);
    boolean withdrawn =
        pinnedVersion.isPresent() && !configuration.permits(account.name(), pinnedVersion.get());
    String id = requestIds.get();
    RoutingRequest request =
        new RoutingRequest(
            id,
            account.name(),
            workClass,
            chatRequest.promptTokens(),
            withdrawn ? Optional.empty() : pinnedVersion,
            token.isPresent(),
            dependencies.router().clock().micros());
    ChatExecution execution =
        new ChatExecution(dependencies, request, chatRequest, billId(account, httpRequest, id));
    execution.submit();
    Headers headers = Headers.none().with("Request-Id", id);
    if (withdrawn) {
      headers = headers.with("Session-Version-Withdrawn", pinnedVersion.get());
    }
    return chatRequest.streamed() ? streamed(execution, headers) : complete(execution, headers);
  }

  private static WorkClass requireAllowedClass(
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
    Optional<String> version =
        sessions.verifiedVersion(token.get(), account.name(), workClass.name());
    if (version.isEmpty()) {
      throw RouterException.notRun(
          ErrorCode.MALFORMED_REQUEST, "the session token is not valid for this account and class");
    }
    return version;
  }

  /** Returns the bill id; retries with the same idempotency key share one bill. */
  private static String billId(ClientAccount account, Request httpRequest, String id) {
    return httpRequest
        .headers()
        .first("Idempotency-Key")
        .map(key -> "k-" + Fingerprint.sha256(account.name() + "\n" + key))
        .orElse(id);
  }

  private Headers withVersion(Headers headers, Optional<String> version, ChatExecution execution) {
    Headers result = headers;
    if (version.isPresent()) {
      result = result.with("Model-Version", version.get());
    }
    if (execution.sessionVersion().isPresent()) {
      RoutingRequest request = execution.request();
      String token =
          sessions.issue(
              request.account(), request.workClass().name(), execution.sessionVersion().get());
      result = result.with("Session-Token", token);
    }
    return result;
  }

  private Response complete(ChatExecution execution, Headers headers) {
    StringBuilder text = new StringBuilder();
    execution.execute(
        new TextSink() {
          @Override
          public void setVersion(String version) {}

          @Override
          public void append(String token) {
            text.append(token);
          }
        },
        until -> {});
    String body =
        ChatResponses.completion(
            execution.request().id(),
            execution.servedVersion(),
            text.toString(),
            execution.usage());
    return new Response.Full(
        OK,
        withVersion(headers, Optional.of(execution.servedVersion()), execution),
        Response.JSON,
        body);
  }

  private Response streamed(ChatExecution execution, Headers headers) {
    return new Response.Streamed(
        OK,
        withVersion(headers, execution.decidedVersion(), execution),
        EVENT_STREAM,
        sink -> stream(execution, sink));
  }

  private static void stream(ChatExecution execution, Response.StreamSink sink) throws IOException {
    String id = execution.request().id();
    TextSink chunks =
        new TextSink() {
          @Override
          public void setVersion(String version) {}

          @Override
          public void append(String token) throws IOException {
            sink.write(ChatResponses.contentChunk(id, execution.servedVersion(), token));
          }
        };
    try {
      execution.execute(chunks, until -> sink.write(ChatResponses.delayComment(until)));
      sink.write(ChatResponses.finalChunk(id, execution.servedVersion(), execution.usage()));
    } catch (RouterException e) {
      sink.write(ChatResponses.errorEvent(e));
    }
  }
}
