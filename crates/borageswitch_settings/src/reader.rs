//! Walks a settings document and collects everything that is wrong with it.

use std::{
    cell::RefCell,
    collections::BTreeSet,
    fs,
    path::{Path, PathBuf},
    rc::Rc,
    str::FromStr,
};

use serde_json::{Map, Value};

use crate::problems::{Problem, Problems};

type Collected = Rc<RefCell<Vec<Problem>>>;

/// Reads a file as JSON with comments and lets `read` take it apart.
///
/// # Errors
///
/// Every problem of the file: that it cannot be read, that it is no JSON, or its wrong fields.
pub fn read_file<T, F>(path: &Path, read: F) -> Result<T, Problems>
where
    F: FnOnce(&mut ObjectReader) -> Option<T>,
{
    let file = PathBuf::from(path);
    let text =
        fs::read_to_string(path).map_err(|err| Problems::whole(file.clone(), err.to_string()))?;
    read_text(&file, &text, read)
}

/// Reads a text as JSON with comments and lets `read` take it apart.
///
/// # Errors
///
/// As [`read_file`].
pub fn read_text<T, F>(file: &Path, text: &str, read: F) -> Result<T, Problems>
where
    F: FnOnce(&mut ObjectReader) -> Option<T>,
{
    let file = PathBuf::from(file);
    let parsed = jsonc_parser::parse_to_serde_value::<Value>(text, &Default::default());
    let value = match parsed {
        Ok(Value::Object(map)) => map,
        Ok(_) => return Err(Problems::whole(file, "an object is expected")),
        Err(err) => return Err(Problems::whole(file, err.to_string())),
    };
    let collected = Collected::default();
    let mut reader = ObjectReader::new(value, String::new(), collected.clone());
    let read = read(&mut reader);
    reader.finish();
    let list = collected.take();
    match read {
        Some(value) if list.is_empty() => Ok(value),
        _ if list.is_empty() => Err(Problems::whole(file, "a field is missing")),
        _ => Err(Problems { file, list }),
    }
}

/// Reads the fields of one object; a field that nobody asked for is a problem.
#[derive(Debug)]
pub struct ObjectReader {
    map: Map<String, Value>,
    path: String,
    asked: BTreeSet<&'static str>,
    collected: Collected,
}

impl ObjectReader {
    fn new(map: Map<String, Value>, path: String, collected: Collected) -> Self {
        Self { map, path, asked: BTreeSet::new(), collected }
    }

    /// Notes a problem with a field of this object; an empty name means the object itself.
    pub fn report<T>(&self, field: &str, reason: T)
    where
        T: Into<String>,
    {
        let problem = Problem { field: self.path_of(field), reason: reason.into() };
        self.collected.borrow_mut().push(problem);
    }

    /// Notes every field that nobody asked for.
    pub fn finish(&self) {
        for field in self.map.keys().filter(|field| !self.asked.contains(field.as_str())) {
            let known: Vec<&str> = self.asked.iter().copied().collect();
            self.report(field, format!("this field is not known; known are {}", known.join(", ")));
        }
    }

    /// The text of a field, parsed.
    pub fn text<T, F, E>(&mut self, field: &'static str, parse: F) -> Option<T>
    where
        F: Fn(&str) -> Result<T, E>,
        E: ToString,
    {
        match self.take(field) {
            Some(value) => self.parse_text(field, &value, parse),
            None => self.missing(field),
        }
    }

    /// The text of a field, parsed, or `default` when the field is left out.
    pub fn text_or<T, F, E>(&mut self, field: &'static str, default: T, parse: F) -> Option<T>
    where
        F: Fn(&str) -> Result<T, E>,
        E: ToString,
    {
        match self.take(field) {
            Some(value) => self.parse_text(field, &value, parse),
            None => Some(default),
        }
    }

    /// A name, an address or whatever else reads itself from text.
    pub fn parsed<T>(&mut self, field: &'static str) -> Option<T>
    where
        T: FromStr,
        T::Err: ToString,
    {
        self.text(field, str::parse)
    }

    /// A list of texts, parsed.
    pub fn list<T>(&mut self, field: &'static str) -> Option<Vec<T>>
    where
        T: FromStr,
        T::Err: ToString,
    {
        let Some(value) = self.take(field) else { return Some(Vec::new()) };
        let Value::Array(values) = value else {
            self.report(field, "a list is expected");
            return None;
        };
        values.iter().map(|value| self.parse_text(field, value, str::parse)).collect()
    }

    /// A whole number within limits.
    pub fn number<T>(&mut self, field: &'static str, least: u64, most: u64) -> Option<T>
    where
        T: TryFrom<u64>,
    {
        match self.take(field) {
            Some(value) => self.parse_number(field, &value, least, most),
            None => self.missing(field),
        }
    }

    /// A whole number within limits, or `default` when the field is left out.
    pub fn number_or<T>(
        &mut self,
        field: &'static str,
        default: T,
        least: u64,
        most: u64,
    ) -> Option<T>
    where
        T: TryFrom<u64>,
    {
        match self.take(field) {
            Some(value) => self.parse_number(field, &value, least, most),
            None => Some(default),
        }
    }

    /// A number that need not be whole, or `default` when the field is left out.
    pub fn decimal_or(
        &mut self,
        field: &'static str,
        default: f64,
        least: f64,
        most: f64,
    ) -> Option<f64> {
        let Some(value) = self.take(field) else { return Some(default) };
        let number = value.as_f64().filter(|number| (least..=most).contains(number));
        if number.is_none() {
            self.report(field, format!("a number from {least} to {most} is expected"));
        }
        number
    }

    /// Yes or no, or `default` when the field is left out.
    pub fn flag_or(&mut self, field: &'static str, default: bool) -> Option<bool> {
        match self.take(field) {
            Some(Value::Bool(flag)) => Some(flag),
            Some(_) => {
                self.report(field, "true or false is expected");
                None
            }
            None => Some(default),
        }
    }

    /// An object within this one, taken apart by `read`.
    pub fn object<T, F>(&mut self, field: &'static str, read: F) -> Option<T>
    where
        F: FnOnce(&mut ObjectReader) -> Option<T>,
    {
        match self.take(field) {
            Some(value) => self.read_object(field.to_owned(), value, read),
            None => self.missing(field),
        }
    }

    /// An object within this one, or `default` when the field is left out.
    pub fn object_or<T, F>(&mut self, field: &'static str, default: T, read: F) -> Option<T>
    where
        F: FnOnce(&mut ObjectReader) -> Option<T>,
    {
        match self.take(field) {
            Some(value) => self.read_object(field.to_owned(), value, read),
            None => Some(default),
        }
    }

    /// Objects by name; a field that is left out has none.
    pub fn objects<K, T, F>(&mut self, field: &'static str, mut read: F) -> Vec<(K, T)>
    where
        K: FromStr,
        K::Err: ToString,
        F: FnMut(&mut ObjectReader) -> Option<T>,
    {
        let Some(value) = self.take(field) else { return Vec::new() };
        let Value::Object(map) = value else {
            self.report(field, "an object is expected");
            return Vec::new();
        };
        let mut found = Vec::new();
        for (key, value) in map {
            let path = format!("{field}.{key}");
            match key.parse::<K>() {
                Ok(name) => {
                    found.extend(self.read_object(path, value, &mut read).map(|item| (name, item)));
                }
                Err(err) => self.report(&path, err.to_string()),
            }
        }
        found
    }

    /// Objects in a list; a field that is left out has none.
    pub fn items<T, F>(&mut self, field: &'static str, mut read: F) -> Vec<T>
    where
        F: FnMut(&mut ObjectReader) -> Option<T>,
    {
        let Some(value) = self.take(field) else { return Vec::new() };
        let Value::Array(values) = value else {
            self.report(field, "a list is expected");
            return Vec::new();
        };
        let numbered = values.into_iter().enumerate();
        numbered
            .filter_map(|(i, value)| self.read_object(format!("{field}[{i}]"), value, &mut read))
            .collect()
    }

    /// Texts by name, parsed; a field that is left out has none.
    pub fn texts<K, V>(&mut self, field: &'static str) -> Vec<(K, V)>
    where
        K: FromStr,
        K::Err: ToString,
        V: FromStr,
        V::Err: ToString,
    {
        let Some(value) = self.take(field) else { return Vec::new() };
        let Value::Object(map) = value else {
            self.report(field, "an object is expected");
            return Vec::new();
        };
        let mut found = Vec::new();
        for (key, value) in map {
            let path = format!("{field}.{key}");
            match (key.parse::<K>(), self.parse_text(&path, &value, str::parse)) {
                (Ok(name), Some(value)) => found.push((name, value)),
                (Err(err), _) => self.report(&path, err.to_string()),
                (Ok(_), None) => {}
            }
        }
        found
    }

    fn take(&mut self, field: &'static str) -> Option<Value> {
        self.asked.insert(field);
        self.map.get(field).cloned()
    }

    fn missing<T>(&self, field: &str) -> Option<T> {
        self.report(field, "this field is missing");
        None
    }

    fn path_of(&self, field: &str) -> String {
        match (self.path.as_str(), field) {
            ("", field) => field.to_owned(),
            (path, "") => path.to_owned(),
            (path, field) => format!("{path}.{field}"),
        }
    }

    fn read_object<T, F>(&self, field: String, value: Value, read: F) -> Option<T>
    where
        F: FnOnce(&mut ObjectReader) -> Option<T>,
    {
        let Value::Object(map) = value else {
            self.report(&field, "an object is expected");
            return None;
        };
        let mut reader = ObjectReader::new(map, self.path_of(&field), self.collected.clone());
        let item = read(&mut reader);
        reader.finish();
        item
    }

    fn parse_text<T, F, E>(&self, field: &str, value: &Value, parse: F) -> Option<T>
    where
        F: Fn(&str) -> Result<T, E>,
        E: ToString,
    {
        let Value::String(text) = value else {
            self.report(field, "a text is expected");
            return None;
        };
        match parse(text) {
            Ok(value) => Some(value),
            Err(err) => {
                self.report(field, err.to_string());
                None
            }
        }
    }

    fn parse_number<T>(&self, field: &str, value: &Value, least: u64, most: u64) -> Option<T>
    where
        T: TryFrom<u64>,
    {
        let number = value.as_u64().filter(|number| (least..=most).contains(number));
        let number = number.and_then(|number| T::try_from(number).ok());
        if number.is_none() {
            self.report(field, format!("a whole number from {least} to {most} is expected"));
        }
        number
    }
}
