package review;

/** Parts of the operator's config that the cases share. */
final class Configs {
  static final String HOST = "ficu95.example";
  static final String PLAIN = "wuno96b";
  static final String ENGINE = "huvo11a";

  /** The plain service, like the one of the sheet. */
  static final String PLAIN_SERVICE =
      """
      {"name":"wuno96b","health_check_path":"/health","connection_limit":96,"protocol":"h1",\
      "tls":false}\
      """;

  /** The service with engines, like the one of the sheet. */
  static final String ENGINE_SERVICE =
      """
      {"name":"huvo11a","health_check_path":"/health","connection_limit":360,"protocol":"h1",\
      "tls":false,"engine":{"slots":64,"kv_cache_tokens":752995,"kv_token_bytes":327680,\
      "link_mbps":550000.0,"moves":true,"backups":true,"stride":6,"most":12,"pin_ms":4000.0,\
      "hold_ms":2000.0,"handle_s":5.0,"models":[{"name":"daka510000","cost":0.02},\
      {"name":"rada7437b5","cost":0.15},{"name":"ravo486f6a","cost":0.3}]}}\
      """;

  /** Unsafe requests to the plain service. */
  static final String ORDERS =
      """
      {"name":"print-order","host":"ficu95.example","path_prefix":"/puxa403/","kind":"unsafe",\
      "timeout_ms":3000,"target_latency_ms":400,"priority":2,"service":"wuno96b",\
      "max_attempts":1,"allow_anonymous":%s,"use_affinity":false}\
      """;

  /** Streams of the engines; the system names the model. */
  static final String STREAMS =
      """
      {"name":"dream-retelling","host":"ficu95.example","path_prefix":"/lohu930/",\
      "kind":"streaming","timeout_ms":20000,"target_latency_ms":2000,"priority":1,\
      "sizes":["daka510000","rada7437b5","ravo486f6a"],"service":"huvo11a","max_attempts":3,\
      "allow_anonymous":%s,"use_affinity":true,"resume_streams":true,"target_gap_ms":800}\
      """;

  private Configs() {}

  /**
   * Returns a config.
   *
   * @param tenants the field with the tenants, with a leading comma, or nothing
   */
  static String config(int version, String routes, String services, String tenants) {
    return """
        {"version":%d,"routes":[%s],"services":[%s],"limits":{"max_header_bytes":16384,\
        "max_body_bytes":4194304,"header_timeout_ms":3000,"idle_timeout_ms":15000}%s}\
        """
        .formatted(version, routes, services, tenants);
  }
}
