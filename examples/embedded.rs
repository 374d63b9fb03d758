//! Embeds one host in a program: a platform stand-in, one host, one status question.

use quetzalpoint::connection::caller::Caller;
use quetzalpoint::standin::platform::PlatformServer;
use quetzalpoint::version::questionnaire::Questionnaire;
use quetzalpoint::{Host, Result, Settings};

#[tokio::main]
async fn main() -> Result<()> {
    let answers = include_str!("answers/tarlac.toml").replace("127.0.0.1", "127.1.2.3");
    let config = Questionnaire::from_toml(&answers)?.generate(1)?;
    let platform = "127.1.2.3:19999".parse().expect("the address is valid");
    let _platform = PlatformServer::start(platform, &config).await?;
    let own = &config.fleet.hosts[0];
    let settings = Settings {
        host: own.id.clone(),
        domain: own.domain.clone(),
        caller_addr: own.caller_addr,
        peer_addr: own.peer_addr,
        platform: Some(platform),
        peers: Vec::new(),
    };
    let host = Host::builder(settings).start().await?;
    let status = Caller::status(own.caller_addr).await?;
    println!("{} serves version {}", status.host, status.config_version);
    host.stop();
    Ok(())
}
