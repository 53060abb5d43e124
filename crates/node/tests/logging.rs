//! Guards against log lines that are not valid JSON and against lost fields.

use lagoonyard_node::logging::line;

#[test]
fn a_line_is_one_json_object_with_the_fields_of_the_record() {
    let fields = [("job", log::kv::Value::from("j \"1\"")), ("took_ms", log::kv::Value::from(12))];
    let record = log::Record::builder()
        .args(format_args!("item run ended"))
        .level(log::Level::Info)
        .target("m")
        .key_values(&fields)
        .build();
    let text = line("host-1", &record);
    assert!(text.ends_with('\n') && text.matches('\n').count() == 1);
    let object: serde_json::Value = serde_json::from_str(&text).unwrap();
    assert_eq!(object["host"], "host-1");
    assert_eq!(object["message"], "item run ended");
    assert_eq!(object["job"], "j \"1\"");
    assert_eq!(object["took_ms"], 12);
    assert!(object["time_ms"].as_u64().unwrap() > 0);
}
