package org.kumquatplank.proofs;

import static org.assertj.core.api.Assertions.assertThat;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import net.jqwik.api.Example;
import org.kumquatplank.core.config.ConfigReader;
import org.kumquatplank.core.error.ErrorCode;
import org.kumquatplank.daemon.Setting;

/** Checks that the docs agree with the code: tests, settings, error codes and examples. */
class DocsTest {
  private static final Path ROOT = Path.of("..");
  private static final Pattern TEST_NAME = Pattern.compile("`([A-Za-z]+Test)\\.(test[A-Za-z]+)`");

  private static String read(String path) {
    try {
      return Files.readString(ROOT.resolve(path));
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static String testSource(String className) {
    try (Stream<Path> files = Files.walk(ROOT)) {
      Path file =
          files
              .filter(f -> f.endsWith(className + ".java") && f.toString().contains("src/test/"))
              .findFirst()
              .orElseThrow(
                  () -> new AssertionError("test class named in the docs not found: " + className));
      return Files.readString(file);
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  @Example
  void testEveryTestNamedInProofsExists() {
    Matcher names = TEST_NAME.matcher(read("docs/PROOFS.md"));
    int count = 0;
    while (names.find()) {
      assertThat(testSource(names.group(1)))
          .as(names.group())
          .contains("void " + names.group(2) + "(");
      count++;
    }
    assertThat(count).isGreaterThan(30);
  }

  @Example
  void testEverySettingIsDocumentedWithItsDefault() {
    String doc = read("docs/CONFIGURATION.md");
    for (Setting setting : Setting.values()) {
      String defaultValue =
          setting.defaultValue().isEmpty() ? "none" : "`" + setting.defaultValue() + "`";
      assertThat(doc)
          .contains(
              String.format(
                  "| `--%s` | `%s` | %s | %s | %s |",
                  setting.flag(),
                  setting.variable(),
                  defaultValue,
                  setting.format(),
                  setting.description()));
    }
  }

  @Example
  void testEveryCallerErrorCodeIsDocumented() {
    String doc = read("docs/API.md");
    for (ErrorCode code : ErrorCode.values()) {
      boolean operatorOnly = code.name().startsWith("CONFIG_") || code == ErrorCode.INTERNAL;
      if (!operatorOnly) {
        assertThat(doc).contains("`" + code.wireName() + "`");
      }
    }
  }

  @Example
  void testExamplesHaveNoFindings() {
    for (String example : List.of("examples/first.json", "examples/measure.json")) {
      assertThat(ConfigReader.read(read(example)).findings()).as(example).isEmpty();
    }
  }
}
