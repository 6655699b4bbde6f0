"use strict";

// Shows the state of the services, refreshed each second, and lets operators
// edit rows. A row that somebody else changed meanwhile is shown as it stands.

const refreshMillis = 1000;
const editable = ["weight", "connection_limit", "slots"];

function say(text, isBad) {
  const message = document.getElementById("message");
  message.textContent = text;
  message.className = isBad ? "bad" : "good";
}

// fill replaces a table; cells are strings, numbers or elements.
function fill(id, header, rows) {
  const table = document.getElementById(id);
  table.replaceChildren();
  const head = table.insertRow();
  for (const name of header) {
    const cell = document.createElement("th");
    cell.textContent = name;
    head.append(cell);
  }
  for (const row of rows) {
    const line = table.insertRow();
    for (const value of row) {
      const cell = line.insertCell();
      if (value instanceof Element) {
        cell.append(value);
        continue;
      }
      cell.textContent = value;
      if (typeof value === "number") {
        cell.className = "number";
      }
    }
  }
}

function stateOf(server) {
  if (server.may_stop) return "may be stopped";
  if (server.leaving) return "leaving";
  return server.live ? "serving" : "silent";
}

async function read(path) {
  const response = await fetch("api/v1/" + path);
  if (!response.ok) {
    throw new Error(path + ": " + response.status);
  }
  return response.json();
}

async function showServices() {
  const services = await read("services");
  fill("services", ["service", "leader", "members", "imbalance", "slices moved", "waiting", "done", "not run", "unknown"],
    services.map((s) => [s.service, s.leader || "-", (s.members || []).join(" "), s.imbalance.toFixed(2),
      s.counters.slices_moved, s.waiting, s.counters.done, s.counters.not_run, s.counters.unknown]));
  fill("servers", ["service", "server", "state", "weight", "slices", "running", "load/s"],
    services.flatMap((s) => (s.servers || []).map((server) => [s.service, server.id, stateOf(server),
      server.weight.toFixed(3), server.slices, server.running, server.load_per_second.toFixed(1)])));
}

function newInput(value, type) {
  const input = document.createElement("input");
  input.type = type;
  input.step = "any";
  input.value = value;
  return input;
}

async function save(entry, inputs) {
  const row = { ...entry.row };
  for (const field of editable) {
    row[field] = Number(inputs[field].value);
  }
  row.leaving = inputs.leaving.value.split(/\s+/).filter((name) => name);
  const headers = { "If-Match": String(entry.revision), "Content-Type": "application/json" };
  const token = document.getElementById("token").value;
  if (token) {
    headers.Authorization = "Bearer " + token;
  }
  const path = "api/v1/table/rows/" + row.service + "/" + row.site;
  const response = await fetch(path, { method: "PUT", headers, body: JSON.stringify(row) });
  const answer = await response.json();
  if (response.ok) {
    say("accepted at revision " + answer.revision, false);
  } else {
    const current = answer.current ? "\nit now stands as " + JSON.stringify(answer.current.row) : "";
    say(answer.error + current, true);
  }
  await showRows();
}

async function showRows() {
  const table = await read("table");
  fill("rows", ["service", "site", ...editable, "leaving", "revision", "author", ""], (table.rows || []).map((entry) => {
    const inputs = { leaving: newInput((entry.row.leaving || []).join(" "), "text") };
    for (const field of editable) {
      inputs[field] = newInput(entry.row[field], "number");
    }
    const button = document.createElement("button");
    button.textContent = "save";
    button.onclick = () => save(entry, inputs).catch((error) => say(error.message, true));
    return [entry.row.service, entry.row.site, ...editable.map((field) => inputs[field]), inputs.leaving,
      entry.revision, entry.author, button];
  }));
}

function refresh() {
  showServices().catch((error) => say(error.message, true)).finally(() => setTimeout(refresh, refreshMillis));
}

refresh();
showRows().catch((error) => say(error.message, true));
