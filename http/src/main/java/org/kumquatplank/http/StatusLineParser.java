package org.kumquatplank.http;

import java.util.regex.Pattern;
import org.apache.hc.core5.http.ParseException;
import org.apache.hc.core5.http.message.LazyLaxLineParser;
import org.apache.hc.core5.http.message.StatusLine;
import org.apache.hc.core5.util.CharArrayBuffer;

/** Rejects status lines without a valid status; the library takes any number of digits. */
final class StatusLineParser extends LazyLaxLineParser {
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[0-9] [1-5][0-9]{2}( .*)?");

  @Override
  public StatusLine parseStatusLine(CharArrayBuffer buffer) throws ParseException {
    if (!STATUS_LINE.matcher(buffer).matches()) {
      throw new ParseException("not a status line: " + buffer);
    }
    return super.parseStatusLine(buffer);
  }
}
